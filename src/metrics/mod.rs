//! Counters by `cadence`, and histograms per class and per caller.

mod histogram;
mod metric;

pub use histogram::{Group, Row, Table};
pub use metric::{Ending, Metrics};
