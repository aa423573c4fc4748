//! The calls that this daemon's backend server is working on.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::model::{
    CallId, CallerName, ClassName, Depth, OnceKey, Priority, Retries, RootId, WorkspaceId,
};
use crate::policy::admission::OnwardOutcome;
use crate::policy::retry::RetryAccount;

/// What onward calls of a held call need to know of it.
#[derive(Debug)]
pub struct ParentCall {
    /// The request at the root of the tree.
    pub root: RootId,
    /// The class of the request.
    pub class: ClassName,
    /// Who called first, if declared.
    pub caller: Option<CallerName>,
    /// The workspace of the request at the root of the tree, if known.
    pub workspace: Option<WorkspaceId>,
    /// The place in the order of admission.
    pub priority: Priority,
    /// How many calls stand above.
    pub depth: Depth,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The key of the call, if it must run at most once.
    pub once: Option<OnceKey>,
    /// The retries of the call and all below it.
    pub account: Mutex<RetryAccount>,
    onward_outcomes: Mutex<Vec<OnwardOutcome>>,
}

impl ParentCall {
    /// Holds a call.
    pub fn new(head: &crate::call::CallHead) -> Self {
        Self {
            root: head.root,
            class: head.class.clone(),
            caller: head.caller.clone(),
            workspace: head.workspace,
            priority: head.priority,
            depth: head.depth,
            deadline: head.deadline,
            once: head.once.as_ref().map(|once| once.key.clone()),
            account: Mutex::new(RetryAccount::new(head.granted_retries)),
            onward_outcomes: Mutex::default(),
        }
    }

    /// Takes note of what an onward call met.
    pub fn record_onward(&self, outcome: OnwardOutcome) {
        self.onward_outcomes.lock().push(outcome);
    }

    /// Returns what the onward calls met so far.
    pub fn take_onward_outcomes(&self) -> Vec<OnwardOutcome> {
        std::mem::take(&mut self.onward_outcomes.lock())
    }

    /// Ends the holding and returns the retries that go home.
    pub fn close(&self) -> Retries {
        self.account.lock().close()
    }
}

/// All held calls by id.
#[derive(Debug, Default)]
pub struct ParentCalls {
    by_id: Mutex<HashMap<CallId, Arc<ParentCall>>>,
}

impl ParentCalls {
    /// Holds a call until the returned guard is dropped.
    pub fn register(self: &Arc<Self>, id: CallId, call: ParentCall) -> ParentCallGuard {
        let call = Arc::new(call);
        self.by_id.lock().insert(id, Arc::clone(&call));
        ParentCallGuard {
            calls: Arc::clone(self),
            id,
            call,
        }
    }

    /// Returns a held call.
    pub fn get(&self, id: CallId) -> Option<Arc<ParentCall>> {
        self.by_id.lock().get(&id).cloned()
    }

    /// Returns the number of held calls.
    pub fn len(&self) -> usize {
        self.by_id.lock().len()
    }

    /// Tells whether no call is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Keeps one call held while it lives.
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
