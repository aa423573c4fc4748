//! Results of a run, and the capacity of the bottleneck.

use super::*;

impl World {
    pub(crate) fn wasted_ms(&self) -> f64 {
        self.roots
            .iter()
            .filter(|r| !r.is_complete)
            .map(|r| r.work_ms)
            .sum()
    }

    pub(crate) fn retries_max(&self) -> u32 {
        self.roots.iter().map(|r| r.retries).max().unwrap_or(0)
    }

    /// Returns the calls per second that the bottleneck can run during the disturbance.
    pub(crate) fn bottleneck_capacity(&self) -> f64 {
        let service = self.scenario.bottleneck();
        let spec = &self.scenario.services[service];
        let disturb = &self.scenario.disturbance;
        self.by_service[service]
            .iter()
            .map(|id| {
                let server = &self.servers[*id];
                let warm = match server.restart_ms {
                    // Mean share of available slots over the disturbance.
                    Some(_) => {
                        let warming =
                            (INITIAL_SLOT_SHARE + 1.0) / 2.0 * WARMUP_SECONDS / DISTURBANCE_SECONDS;
                        warming + (DISTURBANCE_SECONDS - WARMUP_SECONDS) / DISTURBANCE_SECONDS
                    }
                    None => 1.0,
                };
                let work_ms = spec.work_ms * disturb.slowdown * server.work_factor;
                f64::from(spec.slots) * warm * 1000.0 / work_ms
            })
            .sum()
    }
}
