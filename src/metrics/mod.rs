//! Metrics of calls: counters sent by `cadence`, and histograms by class and caller.

mod histogram;
mod losses;
mod metric;
mod page;
mod workspaces;

pub use histogram::{Group, MetricsRow, MetricsTable};
pub use losses::LOSS_NAMES;
pub use metric::{CallStatus, Metrics};
pub use page::{Gauges, METRIC_NAMES, metrics_page};
pub use workspaces::{WORKSPACE_NAMES, WorkspaceRow, workspace_page};
