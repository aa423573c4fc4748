//! Requests that were under way at crashes run here beside few others, or
//! alone, until one of them is known as the cause.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::Guard;
use crate::call::{Attempt, CallHead, Planned, Reason, Refusal};
use crate::policy::admission::Shed;
use crate::policy::crash::RunRestriction;

/// Requests that were under way at one crash and run here at one time. The
/// next crash leaves so many suspects, which then run one by one; with 60 calls
/// under way at a crash and three servers left, the last of them waits for two
/// others.
const MAX_LIMITED_SUSPECTS: usize = 8;
/// How long a suspect waits for its turn, at most; its caller is told that it
/// has not run then.
const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(1);

/// Leave of suspects to run.
#[derive(Debug)]
pub(super) struct SuspectLimits {
    limited: Arc<Semaphore>,
    isolated: Arc<Semaphore>,
}

impl Default for SuspectLimits {
    fn default() -> Self {
        Self {
            limited: Arc::new(Semaphore::new(MAX_LIMITED_SUSPECTS)),
            isolated: Arc::new(Semaphore::new(1)),
        }
    }
}

/// Leave to run one call; a suspect's counts until it is dropped.
#[derive(Debug)]
pub(super) struct RunPermit {
    _permit: Option<OwnedSemaphorePermit>,
}

/// Why a suspect does not run here now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunRefusal {
    /// It is known to crash servers, and is held for this long.
    Quarantined(Duration),
    /// Others had their turn before it.
    Busy,
}

impl RunRefusal {
    /// Refuses a call for this.
    pub(super) fn refuse(self, attempt: Attempt<Planned>) -> Refusal {
        match self {
            Self::Quarantined(left) => refuse_quarantined(attempt, left),
            Self::Busy => attempt.refuse(Reason::Shed(Shed::Overload), "under way at a crash"),
        }
    }
}

/// Refuses a call that is held, until that ends.
pub(crate) fn refuse_quarantined(attempt: Attempt<Planned>, left: Duration) -> Refusal {
    let mut refusal = attempt.refuse(Reason::QueryOfDeath, "servers that ran it crashed");
    refusal.retry_after = Some(left);
    refusal
}

impl Guard {
    /// Waits until a call may run beside the suspects that run here.
    pub(super) async fn acquire_run_permit(
        &self,
        head: &CallHead,
    ) -> Result<RunPermit, RunRefusal> {
        let give_up_at = head.deadline.min(Instant::now() + MAX_SUSPECT_WAIT);
        let mut granted = RunRestriction::Unrestricted;
        let mut permit = None;
        loop {
            let restriction = self.restriction(head);
            let semaphore = match restriction {
                RunRestriction::Quarantined(left) => return Err(RunRefusal::Quarantined(left)),
                _ if restriction == granted => return Ok(RunPermit { _permit: permit }),
                RunRestriction::Unrestricted => return Ok(RunPermit { _permit: None }),
                RunRestriction::FewAtOnce => &self.suspect_limits.limited,
                RunRestriction::OneAtOnce => &self.suspect_limits.isolated,
            };
            // What it had goes back first: others wait for that.
            drop(permit.take());
            let acquired =
                tokio::time::timeout_at(give_up_at, Arc::clone(semaphore).acquire_owned());
            permit = acquired.await.ok().and_then(Result::ok);
            if permit.is_none() {
                return Err(RunRefusal::Busy);
            }
            granted = restriction;
        }
    }

    /// Checks, just before a call is sent, that nothing was learned of it while
    /// it waited for a slot.
    pub(super) fn check_not_quarantined(&self, head: &CallHead) -> Result<(), RunRefusal> {
        match self.restriction(head) {
            RunRestriction::Quarantined(left) => Err(RunRefusal::Quarantined(left)),
            RunRestriction::Unrestricted
            | RunRestriction::FewAtOnce
            | RunRestriction::OneAtOnce => Ok(()),
        }
    }

    fn restriction(&self, head: &CallHead) -> RunRestriction {
        let of = |request| self.shared.suspects.restriction(request);
        head.fingerprint.map_or(RunRestriction::Unrestricted, of)
    }
}
