//! The operator's document, read into the product's declarations.

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

/// Slots of a server until it has announced its own.
const UNANNOUNCED_SLOTS: Slots = Slots::new(16);
/// Retries of a request and all calls made for it. A request of the users
/// makes up to ten calls at the end of its chain, in two branches at the same
/// time; where servers refuse 55 in 100 they need twelve retries in the mean.
/// A quarter stays at each step of the way, so this leaves nine for the branch
/// that starts second. What all requests use together is bounded elsewhere.
const RETRIES: Retries = Retries::new(64);
/// Deadline of a request that matches no route; it is refused anyway.
const NO_ROUTE_DEADLINE: PositiveDuration = PositiveDuration::from_millis(1000);
/// How keys would be kept; the platform's callers send none.
const ONCE: OnceSettings = OnceSettings {
    horizon: PositiveDuration::from_millis(60_000),
    retention: PositiveDuration::from_millis(24 * 3600 * 1000),
    ledger_bytes: Bytes::new(1024 * 1024),
};

/// A version of the operator's document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedEstate {
    /// The version.
    pub version: Version,
    /// What it declares.
    pub estate: Estate,
}

/// The document. It has no `Debug`, since it holds keys.
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
    kind: RouteKind,
    /// Longest time that a caller is kept waiting, in seconds.
    #[serde(rename = "timeoutS")]
    timeout: f64,
    /// The time within which an answer has its full use, in seconds.
    #[serde(rename = "goalS")]
    objective: f64,
    /// The rank of the requests; 0 is the most important.
    priority: u32,
    /// Most servers that one attempt of a caller is sent to.
    attempts: u32,
    /// The only service of the route.
    #[serde(default)]
    upstream: Option<ServiceName>,
    /// The services of the route, if it has several.
    #[serde(default)]
    split: Vec<ShareEntry>,
    /// Whether callers need no key.
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct WorkspaceEntry {
    #[serde(rename = "apiKeys", default)]
    keys: Vec<Box<str>>,
    /// The rank of its requests, 0 for the most important, which counts before
    /// that of their route.
    #[serde(default)]
    priority: Option<u32>,
    /// Requests a second over all daemons; any number if 0.
    #[serde(rename = "ratePerS", default)]
    rate: f64,
    /// Requests at once, on top of the rate.
    #[serde(default)]
    burst: f64,
}

#[derive(Debug, Deserialize)]
struct ShareEntry {
    #[serde(rename = "upstream")]
    service: ServiceName,
    weight: f64,
}

/// What the repetition of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RouteKind {
    Idempotent,
    /// Large answers.
    Download,
    NonIdempotent,
    Upload,
    /// Kinds that are not known here are never repeated.
    #[serde(other)]
    Other,
}

#[derive(Debug, Deserialize)]
struct ServiceEntry {
    /// Connections that one server accepts.
    #[serde(rename = "maxConns")]
    connections: u32,
}

impl RouteKind {
    /// Tells whether a request may run twice without harm.
    const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// Parts into which a weight is divided, so that fractions keep their share.
const WEIGHT_PARTS: f64 = 100.0;

/// Reads the operator's document.
///
/// # Errors
///
/// Fails if the content is no such document.
pub fn read_document(content: &[u8]) -> Result<VersionedEstate, Error> {
    // The library's message would quote what it found, which may be a key.
    let document: Document = serde_json::from_slice(content).map_err(|e| {
        let (kind, line, column) = (e.classify(), e.line(), e.column());
        let message = format!("{kind:?} error at line {line}, column {column}");
        Error::value("operator's document", message)
    })?;
    let ranks = Ranks::new(&document)?;
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
            once: ONCE,
        },
    })
}

/// The place of requests: first by their workspace, then by their route.
type Place = (u32, u32);

/// The classes of a document, one for each pair of priorities that occurs.
struct Ranks {
    places: BTreeMap<Place, usize>,
    classes: Vec<Class>,
    /// What counts as the workspace's priority of requests without a key:
    /// that of the most important one, since servers' own calls are among them.
    keyless: u32,
}

impl Ranks {
    fn new(document: &Document) -> Result<Self, Error> {
        let routes: BTreeSet<u32> = document.routes.values().map(|r| r.priority).collect();
        let entries = document.workspaces.iter().flat_map(BTreeMap::values);
        let workspaces: BTreeSet<u32> = entries.filter_map(|entry| entry.priority).collect();
        let keyless = workspaces.first().copied().unwrap_or_default();
        let firsts = workspaces
            .into_iter()
            .chain([keyless])
            .collect::<BTreeSet<u32>>();
        let pairs = firsts
            .iter()
            .flat_map(|first| routes.iter().map(|second| (*first, *second)));
        let pairs: BTreeSet<Place> = pairs.collect();
        let count = pairs.len().clamp(1, ClassRank::COUNT);
        let places = pairs
            .into_iter()
            .enumerate()
            .map(|(place, pair)| (pair, place.min(count - 1)))
            .collect();
        let classes = (0..count)
            .map(class)
            .collect::<Result<Vec<Class>, Error>>()?;
        Ok(Self {
            places,
            classes,
            keyless,
        })
    }

    fn class(&self, workspace: u32, route: u32) -> &ClassName {
        let place = self.places.get(&(workspace, route)).copied();
        &self.classes[place.unwrap_or_default()].name
    }

    /// Returns the class of a route's requests without a key.
    fn of_route(&self, priority: u32) -> ClassName {
        self.class(self.keyless, priority).clone()
    }

    /// Returns the classes that the requests of a workspace have in place of
    /// those of their routes.
    fn of_workspace(&self, priority: Option<u32>) -> BTreeMap<ClassName, ClassName> {
        let Some(priority) = priority else {
            return BTreeMap::new();
        };
        let routes = self
            .places
            .keys()
            .filter(|(first, _)| *first == self.keyless);
        let pairs = routes.map(|(_, route)| (self.of_route(*route), self.class(priority, *route)));
        let changed = pairs.filter(|(from, to)| from != *to);
        changed.map(|(from, to)| (from, to.clone())).collect()
    }
}

fn class(place: usize) -> Result<Class, Error> {
    Ok(Class {
        name: format!("rank-{place}").parse()?,
        protected: false,
        once_key: None,
        idempotent: false,
        deadline: NO_ROUTE_DEADLINE,
        retries: RETRIES,
    })
}

fn workspaces(document: &Document, ranks: &Ranks) -> Option<Workspaces> {
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
    let is_limited = entry.rate.is_finite() && entry.rate > 0.0;
    is_limited.then(|| RateLimit {
        rate: Rate::per_second(entry.rate),
        burst: entry.burst.clamp(0.0, 1e9) as u32,
    })
}

fn route(name: &RouteName, entry: &RouteEntry, ranks: &Ranks) -> Result<Route, Error> {
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
        timeout: span("timeout", entry.timeout)?,
        objective: span("objective", entry.objective)?,
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

/// Reads a time given in seconds.
fn span(kind: &'static str, seconds: f64) -> Result<PositiveDuration, Error> {
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
