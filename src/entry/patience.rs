//! The time that a caller has.

use std::time::Duration;

use tokio::time::Instant;

use super::place::Place;
use crate::call::RequestInfo;
use crate::model::RouteName;

/// The time that a caller of a route has.
pub(super) struct Patience {
    /// The route.
    pub(super) route: RouteName,
    /// The time that the caller had when it came.
    pub(super) time: Duration,
    /// When the caller came.
    pub(super) since: Instant,
    /// How long a new caller may stay away for an answer of full use: what the
    /// objective leaves of the longest time that one attempt takes.
    pub(super) spare: Duration,
}

impl Patience {
    /// Returns the time of a caller that tells it, if a route matched.
    pub(super) fn new(facts: &RequestInfo, place: &Place<'_>) -> Option<Self> {
        let route = place.route?;
        Some(Self {
            route: route.name.clone(),
            time: facts.timeout?,
            since: Instant::now(),
            spare: route.objective.get().saturating_sub(route.timeout.get()),
        })
    }

    /// Returns the time that the caller has left.
    pub(super) fn left(&self, now: Instant) -> Duration {
        let waited = now.saturating_duration_since(self.since);
        self.time.saturating_sub(waited)
    }
}
