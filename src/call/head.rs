//! What travels with a call besides its body.

use http::{HeaderMap, Method};
use tokio::time::Instant;

use super::StartConfirmation;
use crate::model::{
    AttemptId, CallId, CallerName, ClassName, Depth, Fingerprint, OnceKey, Priority, RelayedNotice,
    Retries, RootId, ServiceName, WorkspaceId,
};
use crate::web::Payload;

/// What makes a call one that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceCall {
    /// The idempotency key.
    pub key: OnceKey,
}

/// What travels with a call besides its body.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// This attempt.
    pub attempt: AttemptId,
    /// This call; onward calls name it as their parent.
    pub call: CallId,
    /// The request at the root of the tree.
    pub root: RootId,
    /// The service that is called.
    pub service: ServiceName,
    /// Who called first, if declared.
    pub caller: Option<CallerName>,
    /// The workspace of the request at the root of the tree, if known.
    pub workspace: Option<WorkspaceId>,
    /// The class of the request.
    pub class: ClassName,
    /// The place in the order of admission.
    pub priority: Priority,
    /// How many calls stand above this one.
    pub depth: Depth,
    /// Whether a caller made it itself and it needs no others, as learned from
    /// the calls of its class.
    pub single_call: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Retries lent to this attempt and all calls below it.
    pub granted_retries: Retries,
    /// Set if the call must run at most once.
    pub once: Option<OnceCall>,
    /// Whether the call was made before.
    pub repeat: bool,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// The headers for the backend server.
    pub headers: HeaderMap,
    /// What it asks for, if its body was known whole before it was sent.
    pub fingerprint: Option<Fingerprint>,
    /// What the entry was told of the backend server that it is sent to.
    pub notice: Option<RelayedNotice>,
    /// Whether it waits for the rate of its backend server, since no other one
    /// has room.
    pub may_wait: bool,
}

/// A call with its body.
#[derive(Debug)]
pub struct Call {
    /// All but the body.
    pub head: CallHead,
    /// The body.
    pub body: Payload,
    /// Set if the entry wants to be asked before the call starts.
    pub confirm: Option<StartConfirmation>,
}
