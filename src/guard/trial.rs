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
const FEW: usize = 8;
/// How long a suspect waits for its turn, at most; its caller is told that it
/// has not run then.
const WAIT: Duration = Duration::from_secs(1);

/// Leave of suspects to run.
#[derive(Debug)]
pub(super) struct Trials {
    few: Arc<Semaphore>,
    alone: Arc<Semaphore>,
}

impl Default for Trials {
    fn default() -> Self {
        Self {
            few: Arc::new(Semaphore::new(FEW)),
            alone: Arc::new(Semaphore::new(1)),
        }
    }
}

/// Leave to run one call; a suspect's counts until it is dropped.
#[derive(Debug)]
pub(super) struct Leave {
    _permit: Option<OwnedSemaphorePermit>,
}

/// Why a suspect does not run here now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Barred {
    /// It is known to crash servers, and is held for this long.
    Held(Duration),
    /// Others had their turn before it.
    Busy,
}

impl Barred {
    /// Refuses a call for this.
    pub(super) fn refuse(self, attempt: Attempt<Planned>) -> Refusal {
        match self {
            Self::Held(left) => held(attempt, left),
            Self::Busy => attempt.refuse(Reason::Shed(Shed::Overload), "under way at a crash"),
        }
    }
}

/// Refuses a call that is held, until that ends.
pub(crate) fn held(attempt: Attempt<Planned>, left: Duration) -> Refusal {
    let mut refusal = attempt.refuse(Reason::QueryOfDeath, "servers that ran it crashed");
    refusal.retry_after = Some(left);
    refusal
}

impl Guard {
    /// Waits until a call may run beside the suspects that run here.
    pub(super) async fn leave_to_run(&self, head: &CallHead) -> Result<Leave, Barred> {
        let end = head.deadline.min(Instant::now() + WAIT);
        let mut has = RunRestriction::Unrestricted;
        let mut permit = None;
        loop {
            let standing = self.standing(head);
            let semaphore = match standing {
                RunRestriction::Quarantined(left) => return Err(Barred::Held(left)),
                _ if standing == has => return Ok(Leave { _permit: permit }),
                RunRestriction::Unrestricted => return Ok(Leave { _permit: None }),
                RunRestriction::FewAtOnce => &self.trials.few,
                RunRestriction::OneAtOnce => &self.trials.alone,
            };
            // What it had goes back first: others wait for that.
            drop(permit.take());
            let turn = tokio::time::timeout_at(end, Arc::clone(semaphore).acquire_owned());
            permit = turn.await.ok().and_then(Result::ok);
            if permit.is_none() {
                return Err(Barred::Busy);
            }
            has = standing;
        }
    }

    /// Checks, just before a call is sent, that nothing was learned of it while
    /// it waited for a slot.
    pub(super) fn check_held(&self, head: &CallHead) -> Result<(), Barred> {
        match self.standing(head) {
            RunRestriction::Quarantined(left) => Err(Barred::Held(left)),
            RunRestriction::Unrestricted
            | RunRestriction::FewAtOnce
            | RunRestriction::OneAtOnce => Ok(()),
        }
    }

    fn standing(&self, head: &CallHead) -> RunRestriction {
        let of = |request| self.shared.suspects.standing(request);
        head.fingerprint.map_or(RunRestriction::Unrestricted, of)
    }
}
