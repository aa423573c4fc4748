//! Handling of a call from admission to the backend server's answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;

use super::backend::Backend;
use super::crash::CrashProbe;
use super::run_permit::SuspectLimits;
use super::sent_call::SentCall;
use super::usage::weights;
use super::{Gate, Lease, LeaseState, OnceCalls, SlotPermit};
use crate::call::{Attempt, Call, CallHead, OnceCall, Planned, Reason, Refusal, Reply};
use crate::model::{ClassRank, Depth, Retries, ServiceName, Slots};
use crate::policy::admission::{Settings, Shed, usable_slots};
use crate::policy::member::Presence;
use crate::policy::once::LedgerLimits;
use crate::tables::{CallStep, ParentCall, Shared, StepDetail};
use crate::web::{Payload, Resources};

/// How long after a call's deadline its backend server may still answer: it counts the
/// same time from when it reads the call. Entries wait for guards a little longer.
const SERVER_GRACE: Duration = Duration::from_millis(30);

/// Slots assumed until the configuration declares the service.
const UNDECLARED_SLOTS: Slots = Slots::new(1);

/// Admits calls to the one backend server of the VM and forwards them.
pub struct Guard {
    pub(super) shared: Arc<Shared>,
    pub(super) gate: Arc<Gate>,
    pub(super) backend: Backend,
    pub(super) once: OnceCalls,
    pub(super) lease: Mutex<Lease>,
    pub(super) presence: Mutex<Presence>,
    pub(super) announced_slots: Mutex<Option<Slots>>,
    pub(super) crash_probe: CrashProbe,
    pub(super) suspect_limits: SuspectLimits,
    pub(super) stopping: AtomicBool,
    pub(super) handle: Handle,
}

impl Guard {
    /// Creates the guard of a daemon; tasks that outlive a call run on `handle`.
    pub fn new(shared: Arc<Shared>, handle: Handle) -> Arc<Self> {
        let settings = Settings {
            slots: UNDECLARED_SLOTS,
            cold: false,
            protected: None,
        };
        let limits = LedgerLimits {
            bytes: 8 * 1024 * 1024,
            retention: Duration::from_secs(24 * 3600),
        };
        let backend = Backend::new(shared.config.backend, shared.protocol.answer_id_header());
        Arc::new(Self {
            gate: Gate::new(settings),
            backend,
            once: OnceCalls::new(limits),
            lease: Mutex::default(),
            presence: Mutex::default(),
            announced_slots: Mutex::default(),
            crash_probe: CrashProbe::default(),
            suspect_limits: SuspectLimits::default(),
            stopping: AtomicBool::new(false),
            shared,
            handle,
        })
    }

    /// Returns the service of the guarded backend server.
    pub fn service(&self) -> &ServiceName {
        &self.shared.config.service
    }

    /// Returns the account of what the daemon holds for others.
    pub fn resources(&self) -> &Resources {
        &self.shared.resources
    }

    /// Returns the gate.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns the ledger of at-most-once calls.
    pub fn once(&self) -> &OnceCalls {
        &self.once
    }

    /// Closes connections to the backend server that exceeded the idle timeout.
    pub fn trim(&self) {
        self.backend.trim();
    }

    /// Counts and logs the answers to earlier requests that the backend server has sent since
    /// the last call.
    pub fn count_late_answers(&self) {
        let count = self.backend.take_late_answers();
        if count > 0 {
            self.shared.metrics.count_late_answers(count);
            spdlog::warn!("late answers of the backend server dropped", kv: { count = count });
        }
    }

    /// Applies the current configuration.
    pub fn reload(&self) {
        let Some(in_force) = self.shared.current.get() else {
            return;
        };
        let estate = &in_force.estate;
        self.gate.reload(self.slots(), estate.last_protected_rank());
        let sharing = estate
            .workspaces
            .as_ref()
            .filter(|_| self.shared.config.fair_sharing);
        self.gate.set_weights(sharing.map(weights));
        self.once.set_limits(LedgerLimits {
            bytes: estate.once.ledger_bytes.get() as usize,
            retention: estate.once.retention.get(),
        });
    }

    pub(super) fn protected(&self) -> Option<ClassRank> {
        let in_force = self.shared.current.get()?;
        in_force.estate.last_protected_rank()
    }

    pub(super) fn slots(&self) -> Slots {
        usable_slots(self.announced_slots().unwrap_or_else(|| self.declared()))
    }

    /// Returns the slots that the current configuration declares.
    fn declared(&self) -> Slots {
        self.shared
            .current
            .get()
            .and_then(|in_force| {
                let service = in_force.estate.services.get(self.service())?;
                Some(service.slots)
            })
            .unwrap_or(UNDECLARED_SLOTS)
    }

    /// Serves a call that an entry sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the backend server did not answer the call.
    pub async fn serve(self: &Arc<Self>, call: Call) -> Result<Reply, Refusal> {
        let attempt = Attempt::with_id(call.head.attempt);
        let account = call.head.granted_retries;
        if let Some(notice) = call.head.notice {
            self.apply_relayed_notice(notice);
        }
        let result = match self.check(&call.head) {
            Err(reason) => Err(self.return_retries(attempt.refuse(reason, ""), account)),
            Ok(()) => match (&call.head.once, call.body) {
                (Some(once), Payload::Whole(body)) => {
                    let once = once.clone();
                    // Boxed to keep the future of all other calls small.
                    Box::pin(self.serve_once(attempt, call.head, once, body)).await
                }
                (Some(_), Payload::Stream { .. }) => {
                    let detail = "a call with an idempotency key must be sent with a complete body";
                    Err(self.return_retries(attempt.refuse(Reason::TooLarge, detail), account))
                }
                (None, body) => {
                    let call = Call {
                        head: call.head,
                        body,
                        confirm: call.confirm,
                    };
                    self.serve_plain(attempt, call).await
                }
            },
        };
        result.map_err(|mut refusal| {
            refusal.guard_status = Some(self.status());
            if let Reason::Shed(shed) = refusal.reason()
                && shed.is_overload()
            {
                refusal.retry_after = Some(self.gate.retry_after(shed));
            }
            refusal
        })
    }

    fn check(&self, head: &CallHead) -> Result<(), Reason> {
        if head.service != *self.service() {
            return Err(Reason::NoSuchService);
        }
        if head.depth > Depth::MAX {
            return Err(Reason::TooDeep);
        }
        let started = |once: &OnceCall| self.once.has_begun(&once.key);
        match self.lease_state() {
            LeaseState::Serving => Ok(()),
            // Repeats of a key that was already started are still answered.
            LeaseState::Leaving if head.once.as_ref().is_some_and(started) => Ok(()),
            LeaseState::Leaving => Err(Reason::Shed(Shed::Leaving)),
            LeaseState::Absent => Err(Reason::Unreachable),
        }
    }

    /// Adds all retries that the call brought to the refusal; none was used.
    pub(super) fn return_retries(&self, mut refusal: Refusal, account: Retries) -> Refusal {
        refusal.returned_retries = account;
        refusal
    }

    pub(super) async fn acquire_slot(&self, head: &CallHead) -> Result<SlotPermit, Shed> {
        let result = self.gate.acquire_slot(head).await;
        let journal = &self.shared.journal;
        match &result {
            Ok(_) => journal.record(head.call, CallStep::Started, StepDetail::None),
            Err(shed) => {
                self.shared.metrics.count_reason("shed", shed.as_str());
                journal.record(head.call, CallStep::Shed, StepDetail::Reason(shed.as_str()));
            }
        }
        result
    }

    async fn serve_plain(
        self: &Arc<Self>,
        attempt: Attempt<Planned>,
        call: Call,
    ) -> Result<Reply, Refusal> {
        let Call {
            head,
            body,
            confirm,
        } = call;
        let _run_permit = match self.acquire_run_permit(&head).await {
            Ok(permit) => permit,
            Err(refused) => {
                return Err(self.return_retries(refused.refuse(attempt), head.granted_retries));
            }
        };
        let mut slot = match self.acquire_slot(&head).await {
            Ok(slot) => slot,
            Err(shed) => {
                let refusal = attempt.refuse(Reason::Shed(shed), self.detail(shed));
                return Err(self.return_retries(refusal, head.granted_retries));
            }
        };
        if let Some(confirm) = confirm {
            let confirmed = tokio::time::timeout_at(head.expires, confirm.request()).await;
            if confirmed != Ok(true) {
                let refusal = attempt.refuse(Reason::Shed(Shed::Cancelled), "");
                return Err(self.return_retries(refusal, head.granted_retries));
            }
        }
        if let Err(refused) = self.check_not_quarantined(&head) {
            return Err(self.return_retries(refused.refuse(attempt), head.granted_retries));
        }
        let held = self
            .shared
            .parent_calls
            .register(head.call, ParentCall::new(&head));
        let attempt = attempt.mark_sent();
        let latest = head.deadline + SERVER_GRACE;
        let sent = SentCall::new(&self.shared, &head);
        let result = tokio::time::timeout_at(latest, self.request(&head, body)).await;
        sent.end();
        let answer = match result {
            Err(_) => return Err(self.close_call(attempt.abandon(Reason::Timeout, ""), &held)),
            Ok(Err(error)) => {
                slot.record_fault(error.is_fault());
                return Err(self.refuse_failed(attempt, &error, head.fingerprint, &held));
            }
            Ok(Ok(answer)) => answer,
        };
        let onward = self.record_end(&mut slot, &held, answer.status);
        Ok(self.reply(answer, onward, latest, (slot, held)))
    }
}
