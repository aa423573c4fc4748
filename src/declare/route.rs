//! Routes: which service takes a request, and how long it may take.

use serde::{Deserialize, Serialize};

use crate::model::{ClassName, PositiveDuration, RouteName, ServiceName, Weight};

/// The part of a route's requests that one service takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its part, in proportion to the weights of the other shares.
    pub weight: Weight,
}

/// Assigns requests to services by host and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host that requests name.
    pub host: Box<str>,
    /// What the path begins with; it begins and ends with a slash.
    pub path: Box<str>,
    /// The services that take the requests.
    pub shares: Vec<Share>,
    /// The class of the requests.
    pub class: ClassName,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: PositiveDuration,
    /// The time within which an answer has its full use.
    pub objective: PositiveDuration,
    /// Most backend servers that one request is sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Finds the route of a request: of those of its host, the one whose prefix
/// is the longest that begins the path.
pub(super) fn find<'r>(routes: &'r [Route], host: &str, path: &str) -> Option<&'r Route> {
    routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.path))
        .max_by_key(|route| route.path.len())
}
