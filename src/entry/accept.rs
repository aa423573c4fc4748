//! Reading of requests: service, class, deadline, retries and key.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use tokio::time::Instant;

use super::caller_time::CallerTime;
use super::rejection::{Rejection, reject};
use super::route_match::{RouteMatch, match_request};
use crate::call::{CallHead, OnceCall, Reason, RequestInfo, RequestOrigin};
use crate::declare::{Class, Estate, RateLimit, Service, Workspace};
use crate::model::{
    AttemptId, CallerName, ClassRank, Depth, OnceKey, Priority, Retries, RootId, ServiceName,
    WorkspaceId, WorkspaceName,
};
use crate::policy::front::FrontOptions;
use crate::policy::retry::RepeatSafety;
use crate::tables::{ParentCall, Shared};

/// How long after its parent's deadline an onward call expires. The backend server counts
/// the parent's time from when it reads it, and may still wait for the call.
const PARENT_GRACE: Duration = Duration::from_millis(100);

/// A valid request.
pub(super) struct AcceptedRequest {
    /// The head that is sent along with the call.
    pub(super) head: CallHead,
    /// The parent call on the own backend server, if this is an onward call.
    pub(super) parent: Option<Arc<ParentCall>>,
    /// Whether the call may run twice.
    pub(super) safety: RepeatSafety,
    /// Retries that the request may use if it has no parent call.
    pub(super) max_retries: Retries,
    /// Maximum number of backend servers that the call is sent to.
    pub(super) max_servers: u32,
    /// Whether the class is protected.
    pub(super) is_protected: bool,
    /// Number of the caller's attempt, from 1, if the caller sends it.
    pub(super) attempt_number: Option<u32>,
    /// Name of the caller, for metrics.
    pub(super) caller: Option<CallerName>,
    /// The workspace that the API key belongs to.
    pub(super) workspace: Option<CallerWorkspace>,
    /// What the front decides besides the levels.
    pub(super) front_options: FrontOptions,
    /// The timeout of the caller, if it was sent and a route matched.
    pub(super) caller_time: Option<CallerTime>,
}

/// The workspace that a request is counted for.
pub(super) struct CallerWorkspace {
    pub(super) name: WorkspaceName,
    /// The rate limit of the workspace, if it has one.
    pub(super) limit: Option<RateLimit>,
}

/// Reads a request whose head was complete at `arrived_at`, by the configuration
/// in force.
pub(super) fn accept(
    parts: &Parts,
    arrived_at: Instant,
    from: IpAddr,
    estate: &Estate,
    shared: &Shared,
) -> Result<AcceptedRequest, Rejection> {
    let bad_request = |e| reject(Reason::BadRequest, e);
    let info = shared.protocol.read_request(parts).map_err(bad_request)?;
    let matched = match_request(parts, estate, &shared.route_splits)?;
    let parent = info.parent.and_then(|id| shared.parent_calls.get(id));
    let declared_caller = estate.caller(from);
    let workspace = caller_workspace(&info, estate, &matched, parent.as_deref())?;
    let (rank, class) = match (&parent, workspace) {
        (Some(parent), _) => estate.class(parent.class.as_str()),
        (None, Some(workspace)) => {
            let replacement = workspace.classes.get(&matched.class.name);
            replacement.and_then(|class| estate.class(class.as_str()))
        }
        (None, None) => None,
    }
    .unwrap_or((matched.rank, matched.class));
    if parent.is_none()
        && let Some(caller) = declared_caller
        && !caller.classes.is_empty()
        && !caller.classes.contains(&class.name)
    {
        let detail = format!("{} may not use class {}", caller.name, class.name);
        return Err(reject(Reason::Forbidden, detail));
    }
    let once = once_call(parts, matched.service, class, estate, parent.as_deref())?;
    let caller = match &parent {
        Some(parent) => parent.caller.clone(),
        None => declared_caller.map(|caller| caller.name.clone()),
    };
    let idempotent = match matched.route {
        Some(route) => route.idempotent,
        None => class.idempotent || parts.method.is_safe(),
    };
    let safety = if once.is_some() || !idempotent {
        RepeatSafety::Unsafe
    } else {
        RepeatSafety::Safe
    };
    let head = call_head(
        parts,
        arrived_at,
        &info,
        &matched,
        (rank, class),
        parent.as_deref(),
    )?;
    let single = parent.is_none() && is_single_call(shared, &head.service, rank);
    Ok(AcceptedRequest {
        head: CallHead {
            caller: caller.clone(),
            workspace: head
                .workspace
                .or(workspace.map(|workspace| WorkspaceId::of(&workspace.name))),
            headers: shared.protocol.forward_headers(
                &parts.headers,
                RequestOrigin {
                    service: &shared.config.service,
                    workspace: workspace.map(|workspace| &workspace.name),
                },
            ),
            once,
            single_call: single,
            priority: if single {
                Priority::for_single_call(rank, head.root)
            } else {
                head.priority
            },
            ..head
        },
        parent,
        safety,
        max_retries: matched.max_retries(class),
        max_servers: matched.max_servers(class),
        is_protected: estate
            .last_protected_rank()
            .is_some_and(|last| rank <= last),
        attempt_number: info.attempt,
        caller,
        workspace: workspace.map(|workspace| CallerWorkspace {
            name: workspace.name.clone(),
            limit: workspace.limit,
        }),
        front_options: shared.config.front.options(),
        caller_time: CallerTime::new(&info, &matched),
    })
}

/// Returns the workspace of a request's API key.
///
/// Backend servers send no key with their calls. If the configuration has routes,
/// their calls go to public ones; otherwise they are recognised by the id of the
/// parent call, which nobody else can guess.
fn caller_workspace<'e>(
    info: &RequestInfo,
    estate: &'e Estate,
    matched: &RouteMatch<'_>,
    parent: Option<&ParentCall>,
) -> Result<Option<&'e Workspace>, Rejection> {
    let Some(workspaces) = &estate.workspaces else {
        return Ok(None);
    };
    let is_exempt = match matched.route {
        Some(route) => route.public,
        None => parent.is_some(),
    };
    if is_exempt {
        return Ok(None);
    }
    let Some(key) = &info.key else {
        let detail = "send the API key of a workspace";
        return Err(reject(Reason::UnknownKey, detail));
    };
    match workspaces.find_by_key(key) {
        Some(workspace) => Ok(Some(workspace)),
        None => Err(reject(Reason::UnknownKey, "no workspace has this key")),
    }
}

/// Returns whether callers' own calls of a class to a service make no onward
/// calls.
fn is_single_call(shared: &Shared, service: &ServiceName, rank: ClassRank) -> bool {
    let table = shared.targets.table(service);
    let table = table.lock();
    table.is_single_call(rank)
}

fn call_head(
    parts: &Parts,
    arrived_at: Instant,
    info: &RequestInfo,
    matched: &RouteMatch<'_>,
    (rank, class): (ClassRank, &Class),
    parent: Option<&ParentCall>,
) -> Result<CallHead, Rejection> {
    let max_timeout = matched.route.map_or(class.deadline, |route| route.timeout);
    let timeout = match (info.timeout, matched.route) {
        (Some(timeout), Some(_)) => timeout.min(max_timeout.get()),
        (Some(timeout), None) => timeout,
        (None, _) => max_timeout.get(),
    };
    let deadline = arrived_at + timeout;
    let expires = parent.map_or(deadline, |parent| {
        deadline.min(parent.deadline + PARENT_GRACE)
    });
    let root = match parent {
        Some(parent) => parent.root,
        None => info.root.unwrap_or_else(RootId::random),
    };
    let depth = parent.map_or(Depth::default(), |parent| parent.depth.next());
    if depth > Depth::MAX {
        return Err(reject(Reason::TooDeep, "calls may form a loop"));
    }
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    Ok(CallHead {
        attempt: AttemptId::new(0),
        call: info.call,
        root,
        service: matched.service.name.clone(),
        caller: None,
        workspace: parent.and_then(|parent| parent.workspace),
        class: class.name.clone(),
        priority: Priority::new(rank, depth, root),
        depth,
        single_call: false,
        deadline,
        expires,
        granted_retries: Retries::new(0),
        once: None,
        repeat: false,
        method: parts.method.clone(),
        target: target.into(),
        headers: http::HeaderMap::new(),
        fingerprint: None,
        notice: None,
        may_wait: false,
    })
}

/// Reads the idempotency key of a call that must run at most once.
///
/// An onward call has the class of its parent, but must run at most once only if
/// the rules of its own service say so.
fn once_call(
    parts: &Parts,
    service: &Service,
    class: &Class,
    estate: &Estate,
    parent: Option<&ParentCall>,
) -> Result<Option<OnceCall>, Rejection> {
    let (_, own_class) = estate.classify(service, parts.method.as_str(), parts.uri.path());
    let declared = if parent.is_some() { own_class } else { class };
    let Some(name) = &declared.once_key else {
        return Ok(None);
    };
    let Some(value) = parts.headers.get(&**name) else {
        let detail = format!(
            "class {} must run at most once; header {name} is missing",
            declared.name
        );
        return Err(reject(Reason::BadRequest, detail));
    };
    let key: OnceKey = value
        .to_str()
        .unwrap_or_default()
        .parse()
        .map_err(|e: crate::error::Error| reject(Reason::BadRequest, e))?;
    Ok(Some(OnceCall { key }))
}
