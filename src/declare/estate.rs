//! The checked declarations, as daemons use them.

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
    /// The region it lies in, if declared.
    pub region: Option<Box<str>>,
    /// Its halls.
    pub halls: Vec<HallName>,
}

/// How many servers of a service stand in a hall.
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
    /// The method, or any.
    pub method: Option<Box<str>>,
    /// What the path begins with, or any.
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

/// A service with the sizes of each of its servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Calls that one server runs at one time.
    pub slots: Slots,
    /// Connections that one server accepts.
    pub connections: Connections,
    /// The services that it calls.
    pub depends: Vec<ServiceName>,
    /// Where its servers stand.
    pub servers: Vec<Placement>,
    /// The classes of calls to it, the first match counts.
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
    /// Whether it is shed only when nothing less important is admitted.
    pub protected: bool,
    /// The header with the idempotency key, if calls must run at most once.
    pub once_key: Option<Box<str>>,
    /// Whether calls may run twice without harm.
    pub idempotent: bool,
    /// How long a caller waits when it does not say so.
    pub deadline: PositiveDuration,
    /// Retries of one request over its whole tree of calls.
    pub retries: Retries,
}

/// A caller, known by the network it calls from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Its name.
    pub name: CallerName,
    /// The networks it calls from.
    pub networks: Vec<IpNet>,
    /// The classes it may use; all if empty.
    pub classes: Vec<ClassName>,
}

/// How once calls are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceSettings {
    /// How far ahead mint times are given out.
    pub horizon: PositiveDuration,
    /// How long keys are remembered.
    #[serde(rename = "memory")]
    pub retention: PositiveDuration,
    /// Most bytes that a guard's ledger holds.
    pub ledger_bytes: Bytes,
}

/// The whole estate with its rules.
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
    /// The workspaces; where there are none, callers need no key.
    pub workspaces: Option<Workspaces>,
    /// How once calls are kept.
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
        let place = named
            .and_then(|name| self.classes.iter().position(|c| c.name == *name))
            .unwrap_or(self.classes.len() - 1);
        (ClassRank::new(place), &self.classes[place])
    }

    /// Returns the route of a request, if one matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        route::find(&self.routes, host, path)
    }

    /// Tells whether an operator ends a route's requests before its objective,
    /// which says that a slow answer is worth nothing there.
    pub fn has_early_timeout(&self) -> bool {
        self.routes.iter().any(|r| r.timeout < r.objective)
    }

    /// Returns a class by name, with its rank.
    pub fn class(&self, name: &str) -> Option<(ClassRank, &Class)> {
        let place = self.classes.iter().position(|c| c.name.as_str() == name)?;
        Some((ClassRank::new(place), &self.classes[place]))
    }

    /// Returns the least important rank of those down to which all classes
    /// are protected.
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

    /// Returns the number of servers in all.
    pub fn server_count(&self) -> u32 {
        self.services.values().map(Service::count).sum()
    }

    /// Returns how many daemons may call a service: those of the services
    /// that depend on it, and its own data centres' as entries for callers.
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

    /// Tells whether a service has once calls.
    pub fn has_once(&self, service: &Service) -> bool {
        service.work.iter().any(|work| {
            self.class(work.class.as_str())
                .is_some_and(|(_, class)| class.once_key.is_some())
        })
    }
}
