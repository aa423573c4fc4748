//! What an arriving request is: service, class, deadline, account and key.

use std::net::IpAddr;
use std::sync::Arc;

use http::header::{EXPECT, HOST};
use http::request::Parts;
use tokio::time::Instant;

use super::header;
use crate::call::{CallHead, OnceCall, Reason};
use crate::declare::{Class, Estate, Service};
use crate::guard::{CALL, forwarded};
use crate::model::{
    AttemptId, CallId, CallerName, ClassRank, Depth, OnceKey, Priority, Retries, RootId,
};
use crate::policy::retry::Safety;
use crate::tables::{Calls, Held};

/// A request that was understood.
pub(super) struct Accepted {
    /// What travels with the call.
    pub(super) head: CallHead,
    /// The call of the own backend server that this one serves, if any.
    pub(super) parent: Option<Arc<Held>>,
    /// Whether the call may run twice.
    pub(super) safety: Safety,
    /// Retries of the request, if it has no parent.
    pub(super) retries: Retries,
    /// Whether the class is protected.
    pub(super) protected: bool,
    /// Whether the caller says that this is its first attempt.
    pub(super) first: bool,
    /// Name of the caller, for metrics.
    pub(super) caller: Option<CallerName>,
}

/// A request that was not understood.
pub(super) struct Rejected {
    pub(super) reason: Reason,
    pub(super) detail: Box<str>,
}

fn rejected(reason: Reason, detail: impl Into<Box<str>>) -> Rejected {
    Rejected {
        reason,
        detail: detail.into(),
    }
}

/// Reads what a request is, by the rules in force.
pub(super) fn accept(
    parts: &Parts,
    from: IpAddr,
    estate: &Estate,
    calls: &Calls,
) -> Result<Accepted, Rejected> {
    let service = service(parts, estate)?;
    let parent = parent(parts, calls);
    let path = parts.uri.path();
    let declared = estate.caller(from);
    let (rank, class) = match &parent {
        Some(held) => estate
            .class(held.class.as_str())
            .ok_or_else(|| rejected(Reason::BadRequest, "the class is no longer declared"))?,
        None => estate.classify(service, parts.method.as_str(), path),
    };
    if parent.is_none()
        && let Some(caller) = declared
        && !caller.classes.is_empty()
        && !caller.classes.contains(&class.name)
    {
        let detail = format!("{} may not use class {}", caller.name, class.name);
        return Err(rejected(Reason::Forbidden, detail));
    }
    let once = once(parts, service, class, estate, parent.as_deref())?;
    let caller = match &parent {
        Some(held) => held.caller.clone(),
        None => declared.map(|caller| caller.name.clone()),
    };
    let safety = if once.is_some() || !(class.idempotent || parts.method.is_safe()) {
        Safety::Once
    } else {
        Safety::Idempotent
    };
    let head = head(parts, service, (rank, class), once, parent.as_deref())?;
    let retries = class.retries;
    let protected = estate.protected().is_some_and(|last| rank <= last);
    Ok(Accepted {
        head: CallHead {
            caller: caller.clone(),
            ..head
        },
        parent,
        safety,
        retries,
        protected,
        first: header::attempt(&parts.headers) == Some(1),
        caller,
    })
}

fn head(
    parts: &Parts,
    service: &Service,
    (rank, class): (ClassRank, &Class),
    once: Option<OnceCall>,
    parent: Option<&Held>,
) -> Result<CallHead, Rejected> {
    let timeout = header::timeout(&parts.headers).map_err(|e| rejected(Reason::BadRequest, e))?;
    let own = Instant::now() + timeout.unwrap_or(class.deadline.get());
    let root = parent.map_or_else(RootId::random, |held| held.root);
    let depth = parent.map_or(Depth::default(), |held| held.depth.next());
    if depth > Depth::MAX {
        return Err(rejected(Reason::TooDeep, "calls go round in a circle"));
    }
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut headers = forwarded(&parts.headers);
    for name in [&CALL, &header::TIMEOUT, &header::ATTEMPT, &EXPECT] {
        headers.remove(name);
    }
    Ok(CallHead {
        attempt: AttemptId::new(0),
        call: CallId::random(),
        root,
        service: service.name.clone(),
        caller: None,
        class: class.name.clone(),
        priority: Priority::new(rank, depth, root),
        depth,
        deadline: parent.map_or(own, |held| own.min(held.deadline)),
        account: Retries::new(0),
        once,
        repeat: false,
        method: parts.method.clone(),
        target: target.into(),
        headers,
    })
}

/// Finds the service by the first label of the host.
fn service<'e>(parts: &Parts, estate: &'e Estate) -> Result<&'e Service, Rejected> {
    let host = parts
        .uri
        .host()
        .or_else(|| parts.headers.get(HOST).and_then(|host| host.to_str().ok()))
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let label = host.split('.').next().unwrap_or_default();
    estate
        .services
        .iter()
        .find(|(name, _)| name.as_str() == label)
        .map(|(_, service)| service)
        .ok_or_else(|| {
            let detail = format!("Host \"{host}\" names no service; write SERVICE or SERVICE.any");
            rejected(Reason::NoSuchService, detail)
        })
}

fn parent(parts: &Parts, calls: &Calls) -> Option<Arc<Held>> {
    let id: CallId = parts.headers.get(&CALL)?.to_str().ok()?.parse().ok()?;
    calls.get(id)
}

/// Reads the idempotency key of a call that must run at most once.
///
/// A call made onwards for a once call has the class of its parent, but is
/// once itself only where the rules of its own service say so.
fn once(
    parts: &Parts,
    service: &Service,
    class: &Class,
    estate: &Estate,
    parent: Option<&Held>,
) -> Result<Option<OnceCall>, Rejected> {
    let (_, own) = estate.classify(service, parts.method.as_str(), parts.uri.path());
    let declared = if parent.is_some() { own } else { class };
    let Some(name) = &declared.once_key else {
        return Ok(None);
    };
    let Some(value) = parts.headers.get(&**name) else {
        let detail = format!("class {} must run at most once; send {name}", declared.name);
        return Err(rejected(Reason::BadRequest, detail));
    };
    let key: OnceKey = value
        .to_str()
        .unwrap_or_default()
        .parse()
        .map_err(|e: crate::error::Error| rejected(Reason::BadRequest, e))?;
    Ok(Some(OnceCall { key }))
}
