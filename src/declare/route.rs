//! Routes assign requests to services and limit their time.

use serde::{Deserialize, Serialize};

use crate::model::{ClassName, PositiveDuration, RouteName, ServiceName, Weight};

/// The share of a route's requests that one service receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other shares.
    pub weight: Weight,
}

/// Assigns requests to services by host and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host of the requests.
    pub host: Box<str>,
    /// The path prefix; it begins and ends with a slash.
    pub path: Box<str>,
    /// The services that receive the requests.
    pub shares: Vec<Share>,
    /// The class of the requests.
    pub class: ClassName,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// The longest time that a caller waits for an answer.
    pub timeout: PositiveDuration,
    /// The time within which an answer is fully useful to the caller.
    pub objective: PositiveDuration,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Returns the route of the host with the longest prefix that matches the path.
pub(super) fn find<'r>(routes: &'r [Route], host: &str, path: &str) -> Option<&'r Route> {
    routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.path))
        .max_by_key(|route| route.path.len())
}
