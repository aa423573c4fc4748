//! Parses the operator's document into the estate's declarations.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

use crate::declare::{
    Class, Estate, OnceSettings, RateLimit, Route, Service, Share, Workspace, Workspaces,
};
use crate::error::Error;
use crate::model::{
    Bytes, ClassName, ClassRank, Connections, KeyDigest, PositiveDuration, Rate, Retries,
    RouteName, ServiceName, Slots, Version, Weight, WorkspaceName,
};

/// Slots of a server until it announces a number.
const UNANNOUNCED_SLOTS: Slots = Slots::new(16);
/// Retries of a request and all calls made for it. A request makes up to ten calls
/// at the end of its chain, in two concurrent branches; where servers refuse 55 in
/// 100, these need twelve retries on average. Each hop keeps a quarter of its
/// retries, which leaves nine for the branch that starts second. The total over all
/// requests is bounded elsewhere.
const REQUEST_RETRIES: Retries = Retries::new(64);
/// Deadline of a request that matches no route; such a request is refused anyway.
const NO_ROUTE_DEADLINE: PositiveDuration = PositiveDuration::from_millis(1000);
/// Retention of idempotency keys; unused, since the platform's callers send none.
const ONCE_SETTINGS: OnceSettings = OnceSettings {
    horizon: PositiveDuration::from_millis(60_000),
    retention: PositiveDuration::from_millis(24 * 3600 * 1000),
    ledger_bytes: Bytes::new(1024 * 1024),
};

/// The estate that one version of the operator's document declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedEstate {
    /// The version of the document.
    pub version: Version,
    /// The declared estate.
    pub estate: Estate,
}

/// The document as it is written. Without `Debug`, since it holds API keys.
#[derive(Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: BTreeMap<RouteName, RouteEntry>,
    #[serde(default)]
    services: BTreeMap<ServiceName, ServiceEntry>,
    /// The workspaces; callers need no key where this is left out.
    #[serde(rename = "tenants", default)]
    workspaces: Option<BTreeMap<WorkspaceName, WorkspaceEntry>>,
}

#[derive(Debug, Deserialize)]
struct RouteEntry {
    /// The host of the requests.
    authority: Box<str>,
    #[serde(rename = "pathPrefix")]
    prefix: Box<str>,
    #[serde(rename = "routeType")]
    kind: RouteType,
    /// Timeout of a request, in seconds.
    #[serde(rename = "timeoutS")]
    timeout: f64,
    /// Latency objective, in seconds.
    #[serde(rename = "goalS")]
    objective: f64,
    /// The priority of the requests; 0 is the highest.
    priority: u32,
    /// Maximum number of servers that are tried for one attempt of a caller.
    attempts: u32,
    /// The only service of the route.
    #[serde(default)]
    upstream: Option<ServiceName>,
    /// The services of the route, if it has several.
    #[serde(default)]
    split: Vec<ShareEntry>,
    /// Whether callers need no API key.
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct WorkspaceEntry {
    #[serde(rename = "apiKeys", default)]
    keys: Vec<Box<str>>,
    /// The priority of its requests; 0 is the highest. It outranks that of the
    /// route.
    #[serde(default)]
    priority: Option<u32>,
    /// Requests per second over all daemons; 0 for no limit.
    #[serde(rename = "ratePerS", default)]
    rate: f64,
    /// Size of a burst above the rate, in requests.
    #[serde(default)]
    burst: f64,
}

#[derive(Debug, Deserialize)]
struct ShareEntry {
    #[serde(rename = "upstream")]
    service: ServiceName,
    weight: f64,
}

/// The type of a route, which decides whether its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RouteType {
    Idempotent,
    /// Large answers.
    Download,
    NonIdempotent,
    Upload,
    /// An unknown type, whose requests are never repeated.
    #[serde(other)]
    Other,
}

#[derive(Debug, Deserialize)]
struct ServiceEntry {
    /// Maximum number of connections to one server.
    #[serde(rename = "maxConns")]
    connections: u32,
}

impl RouteType {
    /// Returns whether a request may safely run twice.
    const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// Parts per unit of weight, so that fractional weights keep their share.
const WEIGHT_PARTS: f64 = 100.0;

/// Parses the operator's document.
///
/// # Errors
///
/// Fails if the content is not a valid document.
pub fn read_document(content: &[u8]) -> Result<VersionedEstate, Error> {
    // The parser's own message would quote the input, which may be an API key.
    let document: Document = serde_json::from_slice(content).map_err(|e| {
        let (kind, line, column) = (e.classify(), e.line(), e.column());
        let message = format!("{kind:?} error at line {line}, column {column}");
        Error::value("operator's document", message)
    })?;
    let ranks = ClassTable::new(&document)?;
    let routes = document
        .routes
        .iter()
        .map(|(name, entry)| route(name, entry, &ranks))
        .collect::<Result<Vec<Route>, Error>>()?;
    let workspaces = workspaces(&document, &ranks);
    Ok(VersionedEstate {
        version: Version::new(document.version),
        estate: Estate {
            centres: Vec::new(),
            services: services(&document, &routes),
            classes: ranks.classes,
            routes,
            callers: Vec::new(),
            workspaces,
            once: ONCE_SETTINGS,
        },
    })
}

/// The priorities of a request: its workspace's, then its route's.
type PriorityPair = (u32, u32);

/// The classes of a document, one per pair of priorities that occurs.
struct ClassTable {
    ranks: BTreeMap<PriorityPair, usize>,
    classes: Vec<Class>,
    /// Workspace priority of requests without a key: the highest of all, since
    /// these include the servers' own calls.
    keyless: u32,
}

impl ClassTable {
    fn new(document: &Document) -> Result<Self, Error> {
        let routes: BTreeSet<u32> = document.routes.values().map(|r| r.priority).collect();
        let entries = document.workspaces.iter().flat_map(BTreeMap::values);
        let workspaces: BTreeSet<u32> = entries.filter_map(|entry| entry.priority).collect();
        let keyless = workspaces.first().copied().unwrap_or_default();
        let workspaces = workspaces
            .into_iter()
            .chain([keyless])
            .collect::<BTreeSet<u32>>();
        let pairs = workspaces
            .iter()
            .flat_map(|workspace| routes.iter().map(|route| (*workspace, *route)));
        let pairs: BTreeSet<PriorityPair> = pairs.collect();
        let count = pairs.len().clamp(1, ClassRank::COUNT);
        let ranks = pairs
            .into_iter()
            .enumerate()
            .map(|(rank, pair)| (pair, rank.min(count - 1)))
            .collect();
        let classes = (0..count)
            .map(class)
            .collect::<Result<Vec<Class>, Error>>()?;
        Ok(Self {
            ranks,
            classes,
            keyless,
        })
    }

    fn class(&self, workspace: u32, route: u32) -> &ClassName {
        let rank = self.ranks.get(&(workspace, route)).copied();
        &self.classes[rank.unwrap_or_default()].name
    }

    /// Returns the class of a route's requests without a key.
    fn of_route(&self, priority: u32) -> ClassName {
        self.class(self.keyless, priority).clone()
    }

    /// Returns, by the class of the route, the class that requests of a workspace
    /// have instead.
    fn of_workspace(&self, priority: Option<u32>) -> BTreeMap<ClassName, ClassName> {
        let Some(priority) = priority else {
            return BTreeMap::new();
        };
        let routes = self
            .ranks
            .keys()
            .filter(|(workspace, _)| *workspace == self.keyless);
        let pairs = routes.map(|(_, route)| (self.of_route(*route), self.class(priority, *route)));
        let changed = pairs.filter(|(from, to)| from != *to);
        changed.map(|(from, to)| (from, to.clone())).collect()
    }
}

fn class(rank: usize) -> Result<Class, Error> {
    Ok(Class {
        name: format!("rank-{rank}").parse()?,
        protected: false,
        once_key: None,
        idempotent: false,
        deadline: NO_ROUTE_DEADLINE,
        retries: REQUEST_RETRIES,
    })
}

fn workspaces(document: &Document, ranks: &ClassTable) -> Option<Workspaces> {
    let entries = document.workspaces.as_ref()?;
    let all = entries.iter().map(|(name, entry)| Workspace {
        name: name.clone(),
        keys: entry
            .keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        limit: limit(entry),
        classes: ranks.of_workspace(entry.priority),
    });
    Some(Workspaces::new(all.collect()))
}

fn limit(entry: &WorkspaceEntry) -> Option<RateLimit> {
    let has_rate = entry.rate.is_finite() && entry.rate > 0.0;
    has_rate.then(|| RateLimit {
        rate: Rate::per_second(entry.rate),
        burst: entry.burst.clamp(0.0, 1e9) as u32,
    })
}

fn route(name: &RouteName, entry: &RouteEntry, ranks: &ClassTable) -> Result<Route, Error> {
    let shares = match &entry.upstream {
        Some(service) => vec![Share {
            service: service.clone(),
            weight: Weight::new(1),
        }],
        None => entry.split.iter().map(share).collect(),
    };
    Ok(Route {
        name: name.clone(),
        host: entry.authority.clone(),
        path: entry.prefix.clone(),
        shares,
        class: ranks.of_route(entry.priority),
        idempotent: entry.kind.is_idempotent(),
        timeout: positive_duration("timeout", entry.timeout)?,
        objective: positive_duration("objective", entry.objective)?,
        attempts: entry.attempts.max(1),
        public: entry.public,
    })
}

fn share(entry: &ShareEntry) -> Share {
    let parts = (entry.weight * WEIGHT_PARTS).round().clamp(0.0, 1e6);
    Share {
        service: entry.service.clone(),
        weight: Weight::new(parts as u32),
    }
}

/// Converts a time in seconds, which must be above 0.
fn positive_duration(kind: &'static str, seconds: f64) -> Result<PositiveDuration, Error> {
    if !seconds.is_finite() || seconds <= 0.0 {
        return Err(Error::value(kind, format!("{seconds} must be above 0")));
    }
    Ok(PositiveDuration::from_millis(
        (seconds * 1000.0).round().max(1.0) as u64,
    ))
}

fn services(document: &Document, routes: &[Route]) -> BTreeMap<ServiceName, Service> {
    let named = routes.iter().flat_map(|r| &r.shares).map(|s| &s.service);
    let all: BTreeSet<&ServiceName> = document.services.keys().chain(named).collect();
    all.into_iter()
        .map(|name| {
            let entry = document.services.get(name);
            let connections = entry.map_or(u32::MAX, |entry| entry.connections.max(1));
            let service = Service {
                name: name.clone(),
                slots: UNANNOUNCED_SLOTS,
                connections: Connections::new(connections.min(1_000_000)),
                depends: Vec::new(),
                servers: Vec::new(),
                work: Vec::new(),
            };
            (name.clone(), service)
        })
        .collect()
}
