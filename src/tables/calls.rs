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
pub struct Held {
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
    met: Mutex<Vec<OnwardOutcome>>,
}

impl Held {
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
            met: Mutex::default(),
        }
    }

    /// Takes note of what an onward call met.
    pub fn met(&self, met: OnwardOutcome) {
        self.met.lock().push(met);
    }

    /// Returns what the onward calls met so far.
    pub fn take_met(&self) -> Vec<OnwardOutcome> {
        std::mem::take(&mut self.met.lock())
    }

    /// Ends the holding and returns the retries that go home.
    pub fn close(&self) -> Retries {
        self.account.lock().close()
    }
}

/// All held calls by id.
#[derive(Debug, Default)]
pub struct Calls {
    held: Mutex<HashMap<CallId, Arc<Held>>>,
}

impl Calls {
    /// Holds a call until the returned guard is dropped.
    pub fn hold(self: &Arc<Self>, id: CallId, held: Held) -> HeldCall {
        let held = Arc::new(held);
        self.held.lock().insert(id, Arc::clone(&held));
        HeldCall {
            calls: Arc::clone(self),
            id,
            held,
        }
    }

    /// Returns a held call.
    pub fn get(&self, id: CallId) -> Option<Arc<Held>> {
        self.held.lock().get(&id).cloned()
    }

    /// Returns the number of held calls.
    pub fn len(&self) -> usize {
        self.held.lock().len()
    }

    /// Tells whether no call is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Keeps one call held while it lives.
#[derive(Debug)]
pub struct HeldCall {
    calls: Arc<Calls>,
    id: CallId,
    held: Arc<Held>,
}

impl std::ops::Deref for HeldCall {
    type Target = Held;

    fn deref(&self) -> &Held {
        &self.held
    }
}

impl Drop for HeldCall {
    fn drop(&mut self) {
        self.calls.held.lock().remove(&self.id);
    }
}
