//! Calls in flight at this daemon's backend server, which onward calls refer to.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::model::{
    CallId, CallerName, ClassName, Depth, OnceKey, Priority, Retries, RootId, WorkspaceId,
};
use crate::policy::admission::OnwardOutcome;
use crate::policy::retry::RetryAccount;

/// A call in flight at the backend server, as its onward calls need it.
#[derive(Debug)]
pub struct ParentCall {
    /// The id of the call.
    pub id: CallId,
    /// The root call of the call tree.
    pub root: RootId,
    /// The class of the request.
    pub class: ClassName,
    /// The caller of the root call, if declared.
    pub caller: Option<CallerName>,
    /// The workspace of the root call, if known.
    pub workspace: Option<WorkspaceId>,
    /// The priority at admission.
    pub priority: Priority,
    /// The number of calls above it in the call tree.
    pub depth: Depth,
    /// When its time is over, as its backend server was told.
    pub deadline: Instant,
    /// The key of the call, if it must run at most once.
    pub once: Option<OnceKey>,
    /// The retries available to the call and all calls below it.
    pub account: Mutex<RetryAccount>,
    onward_outcomes: Mutex<Vec<OnwardOutcome>>,
}

impl ParentCall {
    /// Makes a parent call from the head of a call.
    pub fn new(head: &crate::call::CallHead) -> Self {
        Self {
            id: head.call,
            root: head.root,
            class: head.class.clone(),
            caller: head.caller.clone(),
            workspace: head.workspace,
            priority: head.priority,
            depth: head.depth,
            deadline: head.expires,
            once: head.once.as_ref().map(|once| once.key.clone()),
            account: Mutex::new(RetryAccount::new(head.granted_retries)),
            onward_outcomes: Mutex::default(),
        }
    }

    /// Records the outcome of an onward call.
    pub fn record_onward(&self, outcome: OnwardOutcome) {
        self.onward_outcomes.lock().push(outcome);
    }

    /// Takes out the outcomes recorded so far.
    pub fn take_onward_outcomes(&self) -> Vec<OnwardOutcome> {
        std::mem::take(&mut self.onward_outcomes.lock())
    }

    /// Closes the retry account and returns the unused retries.
    pub fn close(&self) -> Retries {
        self.account.lock().close()
    }
}

/// All parent calls by id.
#[derive(Debug, Default)]
pub struct ParentCalls {
    by_id: Mutex<HashMap<CallId, Arc<ParentCall>>>,
}

impl ParentCalls {
    /// Registers a call until the returned guard is dropped.
    pub fn register(self: &Arc<Self>, id: CallId, call: ParentCall) -> ParentCallGuard {
        let call = Arc::new(call);
        self.by_id.lock().insert(id, Arc::clone(&call));
        ParentCallGuard {
            calls: Arc::clone(self),
            id,
            call,
        }
    }

    /// Returns the parent call with an id.
    pub fn get(&self, id: CallId) -> Option<Arc<ParentCall>> {
        self.by_id.lock().get(&id).cloned()
    }

    /// Returns the number of parent calls.
    pub fn len(&self) -> usize {
        self.by_id.lock().len()
    }

    /// Returns whether there is no parent call.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Keeps one call registered until it is dropped.
#[derive(Debug)]
pub struct ParentCallGuard {
    calls: Arc<ParentCalls>,
    id: CallId,
    call: Arc<ParentCall>,
}

impl std::ops::Deref for ParentCallGuard {
    type Target = ParentCall;

    fn deref(&self) -> &ParentCall {
        &self.call
    }
}

impl Drop for ParentCallGuard {
    fn drop(&mut self) {
        self.calls.by_id.lock().remove(&self.id);
    }
}
