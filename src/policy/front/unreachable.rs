//! Services without a reachable server.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::model::{DemandedLevels, Level, RankSet};
use crate::policy::route::{Table, TargetState};

/// Demand of a service that cannot be reached: it sheds all classes.
///
/// It is sent up the chain like that of an overloaded service and ages like it,
/// so the front refuses call trees that would fail and lets some through again a
/// few times a second, the most important first.
pub const UNREACHABLE_DEMAND: DemandedLevels = DemandedLevels {
    level: Level::HIGHEST,
    downstream: Level::ADMIT_ALL,
    downstream_classes: RankSet::from_bits(0),
};

/// Returns whether a call that could not reach a server has none left to try:
/// each serving one has been tried or is ejected.
pub fn is_unreachable(now: Instant, table: &Table, tried: &[SocketAddr]) -> bool {
    let mut serving = table
        .targets()
        .filter(|target| target.state == TargetState::Serving);
    serving.all(|target| {
        tried.contains(&target.instance.address) || !table.admits(now, target.instance)
    })
}
