//! Membership, gossip neighbours and the rollout of the configuration.

mod budget;
mod feed;
mod link;
mod neighbours;
mod presence;
mod ranks;
mod record;
mod role;
mod rollout;
mod view;

pub use budget::Budget;
pub use feed::feed_wait;
pub use link::{Link, LinkEvent, SyncPosition};
pub use neighbours::{
    Neighbours, delegate_position, gossip_targets, is_delegate, neighbours, read_probability,
};
pub use presence::{Announcement, AnnouncementEffect, Intent, Presence};
pub use ranks::RankedMembers;
pub use record::{Incarnation, Member, MemberState};
pub use role::{RoleTracker, StoreRole};
pub use rollout::{Rollout, VersionDecision};
pub use view::{ChangeCount, Page, View};
