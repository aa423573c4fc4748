//! What a daemon does besides calls: news, configuration, home rows, credit of
//! workspaces, stopping.

mod duty;
mod follow;
mod gossip;
mod homes;
mod lease;
mod poll;
mod rates;
mod refresh;
mod report;
mod row;
mod stop;
mod suspects;

pub use duty::keep_duty;
pub use follow::{Followed, follow};
pub use gossip::gossip;
pub use homes::{keep_homes, read_home};
pub use lease::watch_lease;
pub use poll::{CURRENT_ROW, CurrentRow, fetch_version, poll};
pub use rates::{ask_for_credit, tell_demand};
pub use refresh::refresh;
pub use report::report;
pub use row::keep_row;
pub use stop::{Stopping, stop};
pub use suspects::keep_suspects;
