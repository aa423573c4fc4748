//! The service and class of a request, by routes or by its host.

use http::header::HOST;
use http::request::Parts;

use super::rejection::{Rejection, reject};
use crate::call::Reason;
use crate::declare::{Class, Estate, Route, Service};
use crate::model::{ClassRank, Retries};
use crate::tables::RouteSplits;

/// Where a request belongs.
pub(super) struct RouteMatch<'e> {
    pub(super) service: &'e Service,
    pub(super) rank: ClassRank,
    pub(super) class: &'e Class,
    /// The route that matched, where there are routes.
    pub(super) route: Option<&'e Route>,
}

impl RouteMatch<'_> {
    /// Returns the retries that a request of its own may use.
    pub(super) fn max_retries(&self, class: &Class) -> Retries {
        match self.route {
            Some(route) if route.attempts <= 1 => Retries::new(0),
            Some(_) | None => class.retries,
        }
    }

    /// Returns the most backend servers that a call may be sent to.
    pub(super) fn max_servers(&self, class: &Class) -> u32 {
        match self.route {
            Some(route) => route.attempts.max(1),
            None => class.retries.get() + 1,
        }
    }
}

/// Returns the host that a request names, without its port.
pub(super) fn request_host(parts: &Parts) -> &str {
    let header = || parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or_else(header).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Finds where a request belongs.
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

/// Tells whether a safe request may run twice without harm.
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
            let detail = format!("Host \"{host}\" names no service; write SERVICE or SERVICE.any");
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
        .ok_or_else(|| unknown(format!("no route of host \"{host}\" begins the path")))?;
    let share = splits.choose(route);
    let service = share
        .and_then(|share| estate.services.get(&share.service))
        .ok_or_else(|| reject(Reason::Unreachable, "the route leads to no service"))?;
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
