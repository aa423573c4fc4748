//! The timeout of a caller.

use std::time::Duration;

use tokio::time::Instant;

use super::route_match::RouteMatch;
use crate::call::RequestInfo;
use crate::model::RouteName;

/// The timeout of a caller, and how much of it is left.
pub(super) struct CallerTime {
    pub(super) route: RouteName,
    /// The timeout that the caller sent.
    pub(super) timeout: Duration,
    /// When the request arrived.
    pub(super) arrived_at: Instant,
    /// How long a new caller may delay its retry and still get an answer within
    /// the objective, if one attempt takes the full timeout of the route.
    pub(super) slack: Duration,
}

impl CallerTime {
    /// Returns the time of a caller that sent a timeout, if a route matched.
    pub(super) fn new(info: &RequestInfo, matched: &RouteMatch<'_>) -> Option<Self> {
        let route = matched.route?;
        Some(Self {
            route: route.name.clone(),
            timeout: info.timeout?,
            arrived_at: Instant::now(),
            slack: route.objective.get().saturating_sub(route.timeout.get()),
        })
    }

    /// Returns how much of the timeout is left.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        let waited = now.saturating_duration_since(self.arrived_at);
        self.timeout.saturating_sub(waited)
    }
}
