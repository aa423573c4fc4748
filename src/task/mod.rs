//! Background tasks of a daemon: gossip, configuration, rows in the platform's
//! store, credit of workspaces, and the planned stop.

mod follow;
mod gossip;
mod lease;
mod load;
mod member_row;
mod ownership;
mod poll;
mod rates;
mod stop;
mod store_role;
mod suspects;
mod targets;

pub use follow::{FollowedRow, follow_row};
pub use gossip::gossip;
pub use lease::watch_lease;
pub use load::log_load;
pub use member_row::keep_member_row;
pub use ownership::{keep_ownership, read_ownership};
pub use poll::{CURRENT_ROW, CurrentRow, fetch_version, poll_configuration};
pub use rates::{query_credit, report_demand};
pub use stop::{StopParts, latest_end, stop};
pub use store_role::keep_store_role;
pub use suspects::keep_suspect_rows;
pub use targets::refresh_targets;
