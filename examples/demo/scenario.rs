//! The phases of the scenarios and the requests of the callers.

use std::str::FromStr;
use std::time::Duration;

use bramleymount::emulator::{Site, Workload, Zone};
use bramleymount::error::Error;
use bramleymount::model::ServiceName;
use http::Method;

/// Selects the phases to run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    All,
    Steady,
    Surge,
    Slow,
    Drain,
    Cut,
}

impl FromStr for Scenario {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "all" => Ok(Self::All),
            "steady" => Ok(Self::Steady),
            "surge" => Ok(Self::Surge),
            "slow" => Ok(Self::Slow),
            "drain" => Ok(Self::Drain),
            "cut" => Ok(Self::Cut),
            _ => Err(Error::value(
                "scenario",
                format!("\"{text}\" must be all, steady, surge, slow, drain or cut"),
            )),
        }
    }
}

/// A disturbance of the estate during a phase.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disturbance {
    None,
    Surge,
    Slow,
    Drain,
    Cut,
}

/// A period of a scenario with its demand and disturbance.
#[derive(Clone)]
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) length: Duration,
    pub(crate) demand_factor: f64,
    pub(crate) disturbance: Disturbance,
}

impl Phase {
    fn new(name: &'static str, secs: u64, demand_factor: f64, disturbance: Disturbance) -> Self {
        Self {
            name,
            length: Duration::from_secs(secs),
            demand_factor,
            disturbance,
        }
    }

    /// Returns the phase that runs `time` after the start.
    pub(crate) fn at(phases: &[Self], time: Duration) -> Option<&Self> {
        let mut end = Duration::ZERO;
        phases.iter().find(|phase| {
            end += phase.length;
            time < end
        })
    }

    pub(crate) fn enter(&self, site: &Site) {
        match self.disturbance {
            Disturbance::None | Disturbance::Surge => {}
            Disturbance::Slow => set_slowdown(site, 5),
            Disturbance::Drain => {
                if let Some(server) = archive_server(site) {
                    server.daemon.guard().drain();
                }
            }
            Disturbance::Cut => site.network.partition(Zone::new(1), Zone::new(2)),
        }
    }

    pub(crate) fn leave(&self, site: &Site) {
        match self.disturbance {
            Disturbance::None | Disturbance::Surge => {}
            Disturbance::Slow => set_slowdown(site, 1),
            Disturbance::Drain => {
                if let Some(server) = archive_server(site) {
                    server.daemon.guard().renew_lease(false);
                }
            }
            Disturbance::Cut => site.network.heal(Zone::new(1), Zone::new(2)),
        }
    }
}

fn set_slowdown(site: &Site, factor: u32) {
    let status = site
        .servers
        .iter()
        .filter(|s| s.service.as_str() == "station-status");
    for server in status {
        let time = Duration::from_millis(10) * factor;
        server.backend.change_behaviour(|b| b.service_time = time);
    }
}

fn archive_server(site: &Site) -> Option<&bramleymount::emulator::Server> {
    site.servers
        .iter()
        .find(|s| s.service.as_str() == "forecast-archive")
}

impl Scenario {
    pub(crate) fn phases(self) -> Vec<Phase> {
        let calm = || Phase::new("calm", 4, 1.0, Disturbance::None);
        let mut phases = vec![calm()];
        let mut add = |which: Self, phase: Phase| {
            if self == Self::All || self == which {
                phases.push(phase);
                phases.push(calm());
            }
        };
        add(
            Self::Surge,
            Phase::new("surge: ten times the demand", 5, 10.0, Disturbance::Surge),
        );
        add(
            Self::Slow,
            Phase::new(
                "station-status five times slower",
                5,
                1.0,
                Disturbance::Slow,
            ),
        );
        add(
            Self::Drain,
            Phase::new(
                "one forecast-archive server drained",
                3,
                1.0,
                Disturbance::Drain,
            ),
        );
        add(
            Self::Cut,
            Phase::new("data centre oslo-2 cut off", 5, 1.0, Disturbance::Cut),
        );
        phases
    }
}

/// A kind of request with its rate.
pub(crate) struct RequestKind {
    pub(crate) class: &'static str,
    pub(crate) workload: Workload,
    pub(crate) rate: f64,
}

/// Returns the requests of the callers, with their rates outside a surge.
pub(crate) fn request_kinds(scale: f64) -> Vec<RequestKind> {
    let kind = |class, service: &str, method, path: &str, with_key, body_bytes, rate: f64| {
        let service: Option<ServiceName> = service.parse().ok();
        service.map(|service| RequestKind {
            class,
            workload: Workload {
                service,
                method,
                path: path.into(),
                with_key,
                body_bytes,
                answer_bytes: 1024,
                max_retries: 2,
            },
            rate: rate * scale,
        })
    };
    [
        kind(
            "alert-dispatch",
            "alert-dispatch",
            Method::POST,
            "/alerts",
            true,
            64,
            200.0,
        ),
        kind(
            "archive-read",
            "forecast-archive",
            Method::GET,
            "/charts/1",
            false,
            0,
            1000.0,
        ),
        kind(
            "subscription-change",
            "subscriber-accounts",
            Method::POST,
            "/subscriptions",
            true,
            64,
            100.0,
        ),
        kind(
            "capture-upload",
            "magnetometer-ingest",
            Method::PUT,
            "/captures/1",
            false,
            200_000,
            100.0,
        ),
        kind(
            "status-read",
            "station-status",
            Method::GET,
            "/stations",
            false,
            0,
            600.0,
        ),
    ]
    .into_iter()
    .flatten()
    .collect()
}
