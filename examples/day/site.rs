//! The site that a day is played on, as its file describes it.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use eyre::WrapErr;
use serde::Deserialize;
use serde_json::{Map, json};

/// VMs, services, classes of requests and traffic.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Site {
    /// Seconds that a daemon has to stop.
    pub(crate) grace_s: f64,
    pub(crate) vms: Vec<Place>,
    pub(crate) services: BTreeMap<Box<str>, Service>,
    pub(crate) classes: BTreeMap<Box<str>, Class>,
    pub(crate) traffic: Vec<Traffic>,
}

/// What a VM is for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Place {
    pub(crate) zone: Box<str>,
    pub(crate) service: Box<str>,
    /// Whether the VM starts during the day.
    #[serde(default)]
    pub(crate) added: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Service {
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
    pub(crate) service: Box<str>,
    pub(crate) method: Box<str>,
    /// The route's type.
    pub(crate) kind: Box<str>,
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

impl Site {
    /// Reads a site file.
    pub(crate) fn read(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("failed to read {}", path.display()))?;
        let site: Self = serde_saphyr::from_str(&text)?;
        let classes = site.classes.values();
        let mut services = site.vms.iter().map(|place| &place.service);
        let mut called = classes.filter_map(|class| class.calls.as_ref());
        let mut sent = site.traffic.iter().flat_map(|traffic| traffic.mix.keys());
        let complete = services.all(|name| site.services.contains_key(name))
            && called.all(|calls| site.classes.contains_key(&calls.class))
            && sent.all(|name| site.classes.contains_key(name));
        eyre::ensure!(complete, "a service or a class is not described");
        Ok(site)
    }

    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns whether a service runs a class that is called and makes no calls.
    pub(crate) fn is_last(&self, service: &str) -> bool {
        let classes = self.classes.values();
        let mut called = classes.filter_map(|class| class.calls.as_ref());
        called.any(|calls| {
            let class = &self.classes[&calls.class];
            class.calls.is_none() && *class.service == *service
        })
    }

    /// Returns the configuration of this version. Odd versions have longer timeouts.
    pub(crate) fn config_json(&self, version: u64) -> String {
        let longer = if version.is_multiple_of(2) { 0.0 } else { 0.05 };
        let mut routes = Map::new();
        for (name, class) in &self.classes {
            let route = json!({
                "authority": "a.example",
                "pathPrefix": format!("/{name}/"),
                "routeType": class.kind,
                "timeoutS": class.timeout().as_secs_f64() + longer,
                "goalS": class.goal_ms / 1000.0,
                "priority": class.priority,
                "upstream": class.service,
                "attempts": if class.is_safe() { 2 } else { 1 },
            });
            routes.insert(name.to_string(), route);
        }
        let mut services = Map::new();
        for (name, service) in &self.services {
            let limits = json!({"healthPath": "/health", "maxConns": service.max_connections});
            services.insert(name.to_string(), limits);
        }
        json!({"version": version, "routes": routes, "services": services}).to_string()
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

    /// Returns whether a request may run more than once.
    pub(crate) fn is_safe(&self) -> bool {
        &*self.kind == "idempotent"
    }
}
