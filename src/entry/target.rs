//! Choice of the target of an attempt.

use tokio::time::Instant;

use super::forward::ForwardedCall;
use super::retry::MAX_GUARD_REFUSALS;
use crate::call::{Attempt, Planned, Reason, Refusal};
use crate::guard::refuse_quarantined;
use crate::model::Instance;
use crate::policy::admission::Shed;
use crate::policy::crash::{RunRestriction, Suspect};
use crate::policy::once::{Destination, OnceRefusal};
use crate::policy::route::{CallNeeds, Pick, Table};

impl ForwardedCall<'_> {
    /// Chooses the target of an attempt, or refuses the call.
    pub(super) fn choose_target(
        &mut self,
        attempt: Attempt<Planned>,
    ) -> Result<(Attempt<Planned>, Instance), Refusal> {
        let head = &self.accepted.head;
        if Instant::now() >= head.expires {
            return Err(attempt.refuse(Reason::Shed(Shed::Deadline), ""));
        }
        if let Some(RunRestriction::Quarantined(left)) = self.run_restriction() {
            return Err(refuse_quarantined(attempt, left));
        }
        if let Some(once) = &head.once {
            // No other instance may start the call.
            self.may_wait = true;
            return match self.destination(&once.key) {
                Destination::Instance(instance) if self.try_record_sent(instance) => {
                    Ok((attempt, instance))
                }
                Destination::Instance(_) => Err(attempt.refuse_once(OnceRefusal::OwnerUnreachable)),
                Destination::Refused(refuse) => Err(attempt.refuse_once(refuse)),
            };
        }
        let needs = self.needs();
        let now = Instant::now();
        let pick = self.table(|table| self.pick_target(table, now, needs));
        match pick {
            Pick::Target(instance) => Ok((attempt, instance)),
            Pick::Wait(instance) => {
                self.may_wait = true;
                Ok((attempt, instance))
            }
            Pick::Refused(_) => Err(self.refuse(now, attempt)),
            Pick::NoTarget => Err(attempt.refuse(Reason::Unreachable, "no server accepts calls")),
        }
    }

    /// Refuses a call whose level no server of the service admits.
    fn refuse(&self, now: Instant, attempt: Attempt<Planned>) -> Refusal {
        let wait = self.table(|table| table.rate_delay(now));
        let shed = wait.map_or(Shed::Overload, |_| Shed::Limited);
        let mut refusal = attempt.refuse(Reason::Shed(shed), "");
        let soonest = wait.unwrap_or_default();
        refusal.retry_after = Some(self.context.random_retry_after().max(soonest));
        refusal
    }

    /// Picks a target. A server that rejected the call is picked again once the
    /// maximum number of servers has done so, or if there is no other target.
    fn pick_target(&self, table: &mut Table, now: Instant, needs: CallNeeds) -> Pick {
        if self.rejecting_servers.len() >= self.accepted.max_servers as usize {
            return table.choose_among(now, &self.rejecting_servers);
        }
        let pick = match table.choose_except(now, needs, &self.tried_targets, &mut rand::rng()) {
            Pick::NoTarget if !self.rejecting_servers.is_empty() => {
                table.choose_among(now, &self.rejecting_servers)
            }
            pick => pick,
        };
        match pick {
            // After so many refusals the call waits at the guard that it is sent to.
            Pick::Target(instance) if self.guard_refusals >= MAX_GUARD_REFUSALS => {
                Pick::Wait(instance)
            }
            pick => pick,
        }
    }

    /// Returns the known crashes that happened while the request was in flight.
    /// The target guard may not have received them yet, since a caller can retry
    /// sooner than gossip spreads.
    pub(super) fn suspect(&self) -> Option<Suspect> {
        let request = self.head().fingerprint?;
        self.context.shared.suspects.get(request)
    }

    /// Returns the restriction on the request that follows from known crashes.
    fn run_restriction(&self) -> Option<RunRestriction> {
        let request = self.head().fingerprint?;
        Some(self.context.shared.suspects.restriction(request))
    }

    fn needs(&self) -> CallNeeds {
        CallNeeds {
            level: self.head().priority.level(),
            protected: self.accepted.is_protected,
            avoid: None,
        }
    }
}
