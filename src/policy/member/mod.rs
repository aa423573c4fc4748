//! Who is in the estate, who watches whom, and which configuration is in force.

mod budget;
mod duty;
mod link;
mod neighbours;
mod news;
mod presence;
mod ranks;
mod rollout;
mod view;

pub use budget::Budget;
pub use duty::{Duty, DutyTerm};
pub use link::{Link, LinkEvent, Told};
pub use neighbours::{Neighbours, is_delegate, neighbours, read_chance};
pub use news::{Beat, Member, MemberState};
pub use presence::{Announcement, Intent, Presence, Presented};
pub use ranks::Ranks;
pub use rollout::{Offer, Rollout};
pub use view::{Change, Page, View};
