//! Who is in the estate, who watches whom, and which configuration is in force.

mod budget;
mod link;
mod neighbours;
mod news;
mod presence;
mod rollout;
mod view;

pub use budget::Budget;
pub use link::{Link, LinkEvent, Told};
pub use neighbours::{Neighbours, is_poller, neighbours};
pub use news::{Beat, Member, MemberState};
pub use presence::{Announcement, Intent, Presence, Presented};
pub use rollout::{Offer, Rollout};
pub use view::{Change, View};
