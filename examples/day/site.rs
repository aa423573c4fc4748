//! The site that a day is played on, as its file describes it.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use eyre::{OptionExt, WrapErr};
use serde::Deserialize;

/// VMs, services, classes of requests and traffic.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Site {
    /// Seconds that a daemon has to stop.
    pub(crate) grace_s: f64,
    pub(crate) vms: Vec<VmGroup>,
    /// VMs that start during the day.
    #[serde(default)]
    pub(crate) added_vms: Vec<VmGroup>,
    pub(crate) services: Vec<Service>,
    pub(crate) classes: Vec<Class>,
    pub(crate) traffic: Vec<Traffic>,
}

/// VMs of one service in one zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VmGroup {
    pub(crate) zone: Box<str>,
    pub(crate) service: Box<str>,
    #[serde(default = "one")]
    pub(crate) count: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Service {
    pub(crate) name: Box<str>,
    /// Requests that a server runs at once.
    pub(crate) slots: usize,
    /// Requests that wait at a server; it rejects those beyond.
    pub(crate) queue: usize,
    pub(crate) max_connections: usize,
    /// Speeds of the servers, one after the other.
    pub(crate) speeds: Vec<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    pub(crate) name: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) method: Box<str>,
    pub(crate) kind: Kind,
    pub(crate) priority: u32,
    pub(crate) goal_ms: f64,
    pub(crate) deadline_ms: f64,
    /// The route's timeout; the deadline without it.
    pub(crate) timeout_ms: Option<f64>,
    pub(crate) work_ms: Work,
    #[serde(default)]
    pub(crate) request_bytes: usize,
    #[serde(default)]
    pub(crate) response_bytes: usize,
    /// Share of runs that end with 500.
    #[serde(default)]
    pub(crate) error_share: f64,
    #[serde(default)]
    pub(crate) retries: u32,
    /// Whether callers open a connection for each request.
    #[serde(default)]
    pub(crate) fresh_connections: bool,
    pub(crate) calls: Option<Calls>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    Idempotent,
    NonIdempotent,
    Upload,
}

/// A log-normal distribution of the time that a run takes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Work {
    pub(crate) mean: f64,
    pub(crate) spread: f64,
    pub(crate) max: f64,
}

/// Calls that a run makes, one after the other.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Calls {
    pub(crate) class: Box<str>,
    pub(crate) times: usize,
    /// Whether the run works meanwhile; it calls after its work otherwise.
    #[serde(default)]
    pub(crate) together: bool,
}

/// Requests of the callers in one zone.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Traffic {
    pub(crate) zone: Box<str>,
    /// Mean number of requests a second.
    pub(crate) rate: f64,
    /// Weights of the classes.
    pub(crate) mix: BTreeMap<Box<str>, f64>,
}

const fn one() -> usize {
    1
}

impl Site {
    /// Reads a site file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or names a service or a class that it does not describe.
    pub(crate) fn read(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("failed to read {}", path.display()))?;
        let site: Self = serde_saphyr::from_str(&text)?;
        for group in site.vms.iter().chain(&site.added_vms) {
            site.service_index(&group.service)?;
        }
        for class in &site.classes {
            site.service_index(&class.service)?;
            if let Some(calls) = &class.calls {
                site.class_index(&calls.class)?;
            }
        }
        for name in site.traffic.iter().flat_map(|traffic| traffic.mix.keys()) {
            site.class_index(name)?;
        }
        Ok(site)
    }

    /// Returns the index of a service.
    ///
    /// # Errors
    ///
    /// There is no such service.
    pub(crate) fn service_index(&self, name: &str) -> eyre::Result<usize> {
        let mut names = self.services.iter().map(|service| &*service.name);
        names
            .position(|known| known == name)
            .ok_or_eyre(format!("no service {name}"))
    }

    /// Returns the index of a class.
    ///
    /// # Errors
    ///
    /// There is no such class.
    pub(crate) fn class_index(&self, name: &str) -> eyre::Result<usize> {
        let mut names = self.classes.iter().map(|class| &*class.name);
        names
            .position(|known| known == name)
            .ok_or_eyre(format!("no class {name}"))
    }

    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the configuration of this version. Odd versions have longer timeouts.
    pub(crate) fn config_json(&self, version: u64) -> String {
        let longer = if version.is_multiple_of(2) { 0.0 } else { 0.05 };
        let routes: serde_json::Map<_, _> = self
            .classes
            .iter()
            .map(|class| (class.name.to_string(), class.route_json(longer)))
            .collect();
        let services: serde_json::Map<_, _> = self
            .services
            .iter()
            .map(|service| {
                let limits = serde_json::json!({
                    "healthPath": "/health",
                    "maxConns": service.max_connections,
                });
                (service.name.to_string(), limits)
            })
            .collect();
        serde_json::json!({"version": version, "routes": routes, "services": services}).to_string()
    }
}

impl Class {
    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_secs_f64(self.deadline_ms / 1000.0)
    }

    /// Returns the shortest timeout of the route in any version.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_secs_f64(self.timeout_ms.unwrap_or(self.deadline_ms) / 1000.0)
    }

    fn route_json(&self, longer: f64) -> serde_json::Value {
        let kind = match self.kind {
            Kind::Idempotent => "idempotent",
            Kind::NonIdempotent => "non_idempotent",
            Kind::Upload => "upload",
        };
        serde_json::json!({
            "authority": "a.example",
            "pathPrefix": format!("/{}/", self.name),
            "routeType": kind,
            "timeoutS": self.timeout().as_secs_f64() + longer,
            "goalS": self.goal_ms / 1000.0,
            "priority": self.priority,
            "upstream": self.service,
            "attempts": if self.kind == Kind::Idempotent { 2 } else { 1 },
        })
    }
}
