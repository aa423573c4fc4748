//! The operator's document, read into the product's declarations.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

use crate::declare::{Class, Estate, Once, Route, Service, Share};
use crate::error::Error;
use crate::model::{
    Bytes, ClassName, ClassRank, Connections, Retries, RouteName, ServiceName, Slots, Span,
    Version, Weight,
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
const NO_ROUTE_DEADLINE: Span = Span::from_millis(1000);
/// How keys would be kept; the platform's callers send none.
const ONCE: Once = Once {
    horizon: Span::from_millis(60_000),
    memory: Span::from_millis(24 * 3600 * 1000),
    ledger_bytes: Bytes::new(1024 * 1024),
};

/// A version of the operator's document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operated {
    /// The version.
    pub version: Version,
    /// What it declares.
    pub estate: Estate,
}

#[derive(Debug, Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: BTreeMap<RouteName, RouteEntry>,
    #[serde(default)]
    services: BTreeMap<ServiceName, ServiceEntry>,
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

/// Parts into which a weight is divided, so that fractions keep their share.
const WEIGHT_PARTS: f64 = 100.0;

/// Reads the operator's document.
///
/// # Errors
///
/// Fails if the content is no such document.
pub fn read_document(content: &[u8]) -> Result<Operated, Error> {
    let document: Document = serde_json::from_slice(content)
        .map_err(|e| Error::value("operator's document", e.to_string()))?;
    let priorities: BTreeSet<u32> = document.routes.values().map(|r| r.priority).collect();
    let ranks = Ranks::new(&priorities)?;
    let routes = document
        .routes
        .iter()
        .map(|(name, entry)| route(name, entry, &ranks))
        .collect::<Result<Vec<Route>, Error>>()?;
    Ok(Operated {
        version: Version::new(document.version),
        estate: Estate {
            centres: Vec::new(),
            services: services(&document, &routes),
            classes: ranks.classes,
            routes,
            callers: Vec::new(),
            once: ONCE,
        },
    })
}

/// The classes of a document, one for each priority that occurs.
struct Ranks {
    places: BTreeMap<u32, usize>,
    classes: Vec<Class>,
}

impl Ranks {
    fn new(priorities: &BTreeSet<u32>) -> Result<Self, Error> {
        let count = priorities.len().clamp(1, ClassRank::COUNT);
        let places = priorities
            .iter()
            .enumerate()
            .map(|(place, priority)| (*priority, place.min(count - 1)))
            .collect();
        let classes = (0..count)
            .map(|place| {
                Ok(Class {
                    name: format!("rank-{place}").parse()?,
                    protected: false,
                    once_key: None,
                    idempotent: false,
                    deadline: NO_ROUTE_DEADLINE,
                    retries: RETRIES,
                })
            })
            .collect::<Result<Vec<Class>, Error>>()?;
        Ok(Self { places, classes })
    }

    fn class(&self, priority: u32) -> ClassName {
        let place = self.places.get(&priority).copied().unwrap_or_default();
        self.classes[place].name.clone()
    }
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
        class: ranks.class(entry.priority),
        idempotent: entry.kind == RouteKind::Idempotent,
        timeout: span("timeout", entry.timeout)?,
        objective: span("objective", entry.objective)?,
        attempts: entry.attempts.max(1),
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
fn span(kind: &'static str, seconds: f64) -> Result<Span, Error> {
    if !seconds.is_finite() || seconds <= 0.0 {
        return Err(Error::value(kind, format!("{seconds} must be above 0")));
    }
    Ok(Span::from_millis((seconds * 1000.0).round().max(1.0) as u64))
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
