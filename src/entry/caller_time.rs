//! The time that a caller has.

use std::time::Duration;

use tokio::time::Instant;

use super::route_match::RouteMatch;
use crate::call::RequestInfo;
use crate::model::RouteName;

/// The time that a caller of a route has.
pub(super) struct CallerTime {
    /// The route.
    pub(super) route: RouteName,
    /// The time that the caller had when it came.
    pub(super) timeout: Duration,
    /// When the caller came.
    pub(super) arrived_at: Instant,
    /// How long a new caller may stay away for an answer of full use: what the
    /// objective leaves of the longest time that one attempt takes.
    pub(super) slack: Duration,
}

impl CallerTime {
    /// Returns the time of a caller that tells it, if a route matched.
    pub(super) fn new(facts: &RequestInfo, matched: &RouteMatch<'_>) -> Option<Self> {
        let route = matched.route?;
        Some(Self {
            route: route.name.clone(),
            timeout: facts.timeout?,
            arrived_at: Instant::now(),
            slack: route.objective.get().saturating_sub(route.timeout.get()),
        })
    }

    /// Returns the time that the caller has left.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        let waited = now.saturating_duration_since(self.arrived_at);
        self.timeout.saturating_sub(waited)
    }
}
