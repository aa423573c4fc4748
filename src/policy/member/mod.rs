//! Who is in the estate, who watches whom, and which configuration is in force.

mod budget;
mod link;
mod member;
mod neighbours;
mod rollout;
mod view;

pub use budget::Budget;
pub use link::{Link, LinkEvent, Told};
pub use member::{Beat, Member, MemberState};
pub use neighbours::{Neighbours, is_poller, neighbours};
pub use rollout::{Offer, Rollout};
pub use view::{Change, View};
