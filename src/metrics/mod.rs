//! Counters by `cadence`, and histograms per class and per caller.

mod histogram;
mod metric;
mod page;
mod workspaces;

pub use histogram::{Group, Row, Table};
pub use metric::{Ending, Metrics};
pub use page::{Gauges, NAMES, page};
pub use workspaces::{WORKSPACE_NAMES, WorkspaceRow, workspaces};
