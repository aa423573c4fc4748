//! Service and class of a request, found by route or by host.

use http::header::HOST;
use http::request::Parts;

use super::rejection::{Rejection, reject};
use crate::call::Reason;
use crate::declare::{Class, Estate, Route, Service};
use crate::model::{ClassRank, Retries};
use crate::tables::RouteSplits;

/// The service, class and route that a request matches.
pub(super) struct RouteMatch<'e> {
    pub(super) service: &'e Service,
    pub(super) rank: ClassRank,
    pub(super) class: &'e Class,
    /// The matching route, if the configuration has routes.
    pub(super) route: Option<&'e Route>,
}

impl RouteMatch<'_> {
    /// Returns the retries that a request without a parent call may use.
    pub(super) fn max_retries(&self, class: &Class) -> Retries {
        match self.route {
            Some(route) if route.attempts <= 1 => Retries::new(0),
            Some(_) | None => class.retries,
        }
    }

    /// Returns the maximum number of backend servers that a call is sent to.
    pub(super) fn max_servers(&self, class: &Class) -> u32 {
        match self.route {
            Some(route) => route.attempts.max(1),
            None => class.retries.get() + 1,
        }
    }
}

/// Returns the host of a request without its port.
pub(super) fn request_host(parts: &Parts) -> &str {
    let header = || parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or_else(header).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Finds the service and class of a request.
pub(super) fn match_request<'e>(
    parts: &Parts,
    estate: &'e Estate,
    splits: &RouteSplits,
) -> Result<RouteMatch<'e>, Rejection> {
    if estate.routes.is_empty() {
        match_host(parts, estate)
    } else {
        match_route(parts, estate, splits)
    }
}

/// Returns whether a safe request may run twice without harm.
pub(super) fn may_repeat(parts: &Parts, estate: &Estate) -> bool {
    if !estate.routes.is_empty() {
        let route = estate.route(request_host(parts), parts.uri.path());
        return route.is_some_and(|route| route.idempotent);
    }
    match_host(parts, estate).is_ok_and(|matched| matched.class.once_key.is_none())
}

/// Finds the service by the first label of the host.
fn match_host<'e>(parts: &Parts, estate: &'e Estate) -> Result<RouteMatch<'e>, Rejection> {
    let host = request_host(parts);
    let label = host.split('.').next().unwrap_or_default();
    let service = estate
        .services
        .iter()
        .find(|(name, _)| name.as_str() == label)
        .map(|(_, service)| service)
        .ok_or_else(|| {
            let detail = format!("Host \"{host}\" matches no service; use SERVICE or SERVICE.any");
            reject(Reason::NoSuchService, detail)
        })?;
    let (rank, class) = estate.classify(service, parts.method.as_str(), parts.uri.path());
    Ok(RouteMatch {
        service,
        rank,
        class,
        route: None,
    })
}

fn match_route<'e>(
    parts: &Parts,
    estate: &'e Estate,
    splits: &RouteSplits,
) -> Result<RouteMatch<'e>, Rejection> {
    let (host, path) = (request_host(parts), parts.uri.path());
    let unknown = |detail: String| reject(Reason::NoSuchService, detail);
    let route = estate
        .route(host, path)
        .ok_or_else(|| unknown(format!("no route of host \"{host}\" matches the path")))?;
    let share = splits.choose(route);
    let service = share
        .and_then(|share| estate.services.get(&share.service))
        .ok_or_else(|| reject(Reason::Unreachable, "the route has no declared service"))?;
    let (rank, class) = estate
        .class(route.class.as_str())
        .ok_or_else(|| reject(Reason::Unreachable, "the route's class is not declared"))?;
    Ok(RouteMatch {
        service,
        rank,
        class,
        route: Some(route),
    })
}
