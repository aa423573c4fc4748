//! Limits on running suspects, the requests that were in flight at a crash.
//!
//! A server runs few of them at a time, or one, until the cause is known.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::Guard;
use crate::call::{Attempt, CallHead, Planned, Reason, Refusal};
use crate::policy::admission::Shed;
use crate::policy::crash::RunRestriction;

/// Suspects of a single crash that run here at the same time.
///
/// The next crash leaves at most this many suspects, which then run one at a time.
/// With 60 calls in flight at a crash and three servers left, the last suspect
/// waits for two others.
const MAX_LIMITED_SUSPECTS: usize = 8;
/// Maximum wait of a suspect for its permit; it is then refused as not run.
const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(1);

/// Semaphores that limit the suspects running here.
#[derive(Debug)]
pub(super) struct SuspectLimits {
    limited: Arc<Semaphore>,
    exclusive: Arc<Semaphore>,
}

impl Default for SuspectLimits {
    fn default() -> Self {
        Self {
            limited: Arc::new(Semaphore::new(MAX_LIMITED_SUSPECTS)),
            exclusive: Arc::new(Semaphore::new(1)),
        }
    }
}

/// Permit to run one call; that of a suspect is released when dropped.
#[derive(Debug)]
pub(super) struct RunPermit {
    _permit: Option<OwnedSemaphorePermit>,
}

/// Why a suspect may not run here now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunRefusal {
    /// It crashes servers and is quarantined for this long.
    Quarantined(Duration),
    /// Other suspects held the permits for too long.
    Busy,
}

impl RunRefusal {
    /// Refuses a call for this reason.
    pub(super) fn refuse(self, attempt: Attempt<Planned>) -> Refusal {
        match self {
            Self::Quarantined(left) => refuse_quarantined(attempt, left),
            Self::Busy => attempt.refuse(Reason::Shed(Shed::Overload), "under way at a crash"),
        }
    }
}

/// Refuses a quarantined call, to be retried when the quarantine ends.
pub(crate) fn refuse_quarantined(attempt: Attempt<Planned>, left: Duration) -> Refusal {
    let mut refusal = attempt.refuse(Reason::QueryOfDeath, "servers that ran it crashed");
    refusal.retry_after = Some(left);
    refusal
}

impl Guard {
    /// Waits until the limits on suspects let a call run.
    pub(super) async fn acquire_run_permit(
        &self,
        head: &CallHead,
    ) -> Result<RunPermit, RunRefusal> {
        let give_up_at = head.expires.min(Instant::now() + MAX_SUSPECT_WAIT);
        let mut granted = RunRestriction::Unrestricted;
        let mut permit = None;
        loop {
            let restriction = self.restriction(head);
            let semaphore = match restriction {
                RunRestriction::Quarantined(left) => return Err(RunRefusal::Quarantined(left)),
                _ if restriction == granted => return Ok(RunPermit { _permit: permit }),
                RunRestriction::Unrestricted => return Ok(RunPermit { _permit: None }),
                RunRestriction::FewAtOnce => &self.suspect_limits.limited,
                RunRestriction::OneAtOnce => &self.suspect_limits.exclusive,
            };
            // Released before waiting, since other suspects wait for it.
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

    /// Checks, just before a call is sent, that it was not quarantined while it
    /// waited for a slot.
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
