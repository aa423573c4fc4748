//! Counters by `cadence`, and histograms per class and per caller.

mod histogram;
mod metric;
mod page;
mod workspaces;

pub use histogram::{Group, MetricsRow, MetricsTable};
pub use metric::{CallStatus, Metrics};
pub use page::{Gauges, METRIC_NAMES, metrics_page};
pub use workspaces::{WORKSPACE_NAMES, WorkspaceRow, workspace_page};
