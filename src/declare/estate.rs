//! The validated declarations that daemons use.

use std::collections::BTreeMap;
use std::net::IpAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::Workspaces;
use super::route::{self, Route};
use crate::model::{
    Bytes, CallerName, CentreName, ClassName, ClassRank, Connections, HallName, PositiveDuration,
    Retries, ServiceName, Slots,
};

/// A data centre with its halls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Centre {
    /// Its name.
    pub name: CentreName,
    /// Its region, if declared.
    pub region: Option<Box<str>>,
    /// Its halls.
    pub halls: Vec<HallName>,
}

/// The servers of a service in one hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The data centre.
    pub centre: CentreName,
    /// The hall.
    pub hall: HallName,
    /// The number of servers.
    pub count: u32,
}

/// Assigns calls to a class by service, method and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRule {
    /// The method; any method if `None`.
    pub method: Option<Box<str>>,
    /// The path prefix; any path if `None`.
    pub path: Option<Box<str>>,
    /// The class.
    pub class: ClassName,
}

impl WorkRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method.as_deref().is_none_or(|m| m == method);
        let path_fits = self.path.as_deref().is_none_or(|p| path.starts_with(p));
        method_fits && path_fits
    }
}

/// A service and the capacity of each of its servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of calls that one server runs concurrently.
    pub slots: Slots,
    /// Maximum number of connections that one server accepts.
    pub connections: Connections,
    /// The services that it calls.
    pub depends: Vec<ServiceName>,
    /// The placement of its servers.
    pub servers: Vec<Placement>,
    /// The classes of calls to it; the first match applies.
    pub work: Vec<WorkRule>,
}

impl Service {
    /// Returns the number of its servers.
    pub fn count(&self) -> u32 {
        self.servers.iter().map(|p| p.count).sum()
    }
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: ClassName,
    /// Whether it is shed only when no less important call is admitted.
    pub protected: bool,
    /// The header that carries the idempotency key, if calls must run at most once.
    pub once_key: Option<Box<str>>,
    /// Whether calls may run twice without harm.
    pub idempotent: bool,
    /// The deadline of calls whose caller sets none.
    pub deadline: PositiveDuration,
    /// Maximum number of retries of one request, over its whole call tree.
    pub retries: Retries,
}

/// A caller, identified by its networks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Its name.
    pub name: CallerName,
    /// The networks it calls from.
    pub networks: Vec<IpNet>,
    /// The classes it may use; all classes if empty.
    pub classes: Vec<ClassName>,
}

/// Settings of calls that run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceSettings {
    /// How far in the future mint times may be issued.
    pub horizon: PositiveDuration,
    /// How long keys are retained.
    #[serde(rename = "memory")]
    pub retention: PositiveDuration,
    /// Maximum size of a guard's ledger.
    pub ledger_bytes: Bytes,
}

/// All services and servers of an operator, with their rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estate {
    /// The data centres.
    pub centres: Vec<Centre>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The classes, most important first.
    pub classes: Vec<Class>,
    /// The routes; if there are none, the host of a request names its service.
    pub routes: Vec<Route>,
    /// The callers.
    pub callers: Vec<Caller>,
    /// The workspaces; callers need no key if `None`.
    pub workspaces: Option<Workspaces>,
    /// Settings of calls that run at most once.
    pub once: OnceSettings,
}

impl Estate {
    /// Returns the class of a call to `service`, with its rank.
    pub fn classify(&self, service: &Service, method: &str, path: &str) -> (ClassRank, &Class) {
        let named = service
            .work
            .iter()
            .find(|work| work.matches(method, path))
            .map(|work| &work.class);
        let index = named
            .and_then(|name| self.classes.iter().position(|c| c.name == *name))
            .unwrap_or(self.classes.len() - 1);
        (ClassRank::new(index), &self.classes[index])
    }

    /// Returns the route of a request, if one matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        route::find(&self.routes, host, path)
    }

    /// Returns whether a route's timeout is shorter than its objective, which means that
    /// a slow answer is worth nothing there.
    pub fn has_early_timeout(&self) -> bool {
        self.routes.iter().any(|r| r.timeout < r.objective)
    }

    /// Returns a class by name, with its rank.
    pub fn class(&self, name: &str) -> Option<(ClassRank, &Class)> {
        let index = self.classes.iter().position(|c| c.name.as_str() == name)?;
        Some((ClassRank::new(index), &self.classes[index]))
    }

    /// Returns the rank of the last class before the first unprotected one, if any.
    pub fn last_protected_rank(&self) -> Option<ClassRank> {
        let count = self.classes.iter().take_while(|c| c.protected).count();
        count.checked_sub(1).map(ClassRank::new)
    }

    /// Returns the caller that an address belongs to, if declared.
    pub fn caller(&self, address: IpAddr) -> Option<&Caller> {
        self.callers
            .iter()
            .find(|caller| caller.networks.iter().any(|net| net.contains(&address)))
    }

    /// Returns the total number of servers.
    pub fn server_count(&self) -> u32 {
        self.services.values().map(Service::count).sum()
    }

    /// Returns how many daemons may call a service: those of the services that depend
    /// on it, and its own ones, which are entries for callers.
    pub fn entry_count(&self, service: &ServiceName) -> u32 {
        let calling: u32 = self
            .services
            .values()
            .filter(|s| s.depends.contains(service))
            .map(Service::count)
            .sum();
        let own = self.services.get(service).map_or(0, Service::count);
        calling + own
    }

    /// Returns whether a service has calls that must run at most once.
    pub fn has_once(&self, service: &Service) -> bool {
        service.work.iter().any(|work| {
            self.class(work.class.as_str())
                .is_some_and(|(_, class)| class.once_key.is_some())
        })
    }
}
