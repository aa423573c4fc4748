//! The head of a call: everything but its body.

use http::{HeaderMap, Method};
use tokio::time::Instant;

use super::StartConfirmation;
use crate::model::{
    AttemptId, CallId, CallerName, ClassName, Depth, Fingerprint, OnceKey, Priority, RelayedNotice,
    Retries, RootId, ServiceName, WorkspaceId,
};
use crate::web::Payload;

/// Marks a call that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceCall {
    /// The idempotency key.
    pub key: OnceKey,
}

/// All that is sent with a call except its body.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Id of this call; onward calls name it as their parent.
    pub call: CallId,
    /// Id of the request at the root of the call tree.
    pub root: RootId,
    /// The service that is called.
    pub service: ServiceName,
    /// The caller of the root request, if it is declared in the rules.
    pub caller: Option<CallerName>,
    /// The workspace of the root request, if known.
    pub workspace: Option<WorkspaceId>,
    /// The class of the request.
    pub class: ClassName,
    /// The priority for admission.
    pub priority: Priority,
    /// The number of calls above this one in the call tree.
    pub depth: Depth,
    /// Whether it is a root call that is expected to make no onward calls, as
    /// learned from earlier calls of its class.
    pub single_call: bool,
    /// The time at which the caller stops waiting.
    pub deadline: Instant,
    /// The time from which the answer is of no use: the deadline, or that of the parent
    /// call if it is earlier. The call isn't started later, and its backend server is told
    /// this time, but a server at work may use the time until the deadline.
    pub expires: Instant,
    /// Retries granted to this attempt and all its onward calls.
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
    /// The fingerprint, if the whole body was known before sending.
    pub fingerprint: Option<Fingerprint>,
    /// What the entry last learned of the backend server that it is sent to.
    pub notice: Option<RelayedNotice>,
    /// Whether it may wait for the request rate of its backend server, because no
    /// other one has rate capacity.
    pub may_wait: bool,
}

/// A call with its body.
#[derive(Debug)]
pub struct Call {
    /// All but the body.
    pub head: CallHead,
    /// The body.
    pub body: Payload,
    /// Set if the entry must confirm the call before it starts.
    pub confirm: Option<StartConfirmation>,
}
