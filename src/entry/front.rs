//! What the front knows of callers' times and of the room for them.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use super::accept::Accepted;
use super::context::Context;
use super::patience::Patience;
use crate::call::{Reason, Refusal};
use crate::model::{ClassRank, Level, Priority, RouteName, ServiceName, Verdict};
use crate::policy::admission::Shed;
use crate::policy::front::{AdmittedShare, RefusedCaller, RetryDetector, backoff, boosted_root};

/// Most routes, and most classes of services, of which anything is known; the
/// names of earlier configurations are dropped when there are more.
const MAX_KNOWN: usize = 4096;

/// What the front knows of callers' times and of the room for them.
#[derive(Default)]
pub(super) struct Known {
    retries: Mutex<HashMap<RouteName, RetryDetector>>,
    outlooks: Mutex<HashMap<(ServiceName, ClassRank), AdmittedShare>>,
}

impl Known {
    /// Takes note of a request, and returns how long its caller has waited if it
    /// is a retry.
    fn observe(&self, patience: &Patience) -> Option<Duration> {
        let now = patience.since;
        let mut retries = self.retries.lock();
        if !retries.contains_key(&patience.route) && retries.len() >= MAX_KNOWN {
            retries.clear();
        }
        let detector = retries
            .entry(patience.route.clone())
            .or_insert_with(|| RetryDetector::new(now));
        detector.observe(now, patience.time)
    }

    /// Takes note of the level that a service demands of a class.
    fn see(
        &self,
        now: Instant,
        service: &ServiceName,
        rank: ClassRank,
        level: Level,
    ) -> AdmittedShare {
        let mut outlooks = self.outlooks.lock();
        let key = (service.clone(), rank);
        if !outlooks.contains_key(&key) && outlooks.len() >= MAX_KNOWN {
            outlooks.clear();
        }
        let outlook = outlooks.entry(key).or_default();
        outlook.record(now, rank, level);
        *outlook
    }
}

impl Context {
    /// Takes note of the time that a caller has, and puts one who comes back
    /// before others of its class.
    pub(super) fn boost_returning(&self, accepted: &mut Accepted) {
        if !accepted.options.uses_time() || accepted.parent.is_some() {
            return;
        }
        let Some(patience) = &mut accepted.patience else {
            return;
        };
        let Some(waited) = self.known.observe(patience) else {
            return;
        };
        patience.spare = patience.spare.saturating_sub(waited);
        self.shared.metrics.count("caller_retries");
        let head = &mut accepted.head;
        if accepted.options.boost && !head.single_call {
            head.root = boosted_root(head.root);
            head.priority = Priority::new(head.priority.rank(), head.depth, head.root);
        }
    }

    /// Tells a caller that is refused for want of room when to come back.
    pub(super) fn set_backoff(&self, accepted: &Accepted, refusal: &mut Refusal) {
        let is_told = accepted.options.backoff
            && accepted.parent.is_none()
            && refusal.verdict() == Verdict::NotRun
            && refusal.reason().is_overload()
            // The server's rate says when there is room.
            && refusal.reason() != Reason::Shed(Shed::Limited);
        let (true, Some(patience)) = (is_told, &accepted.patience) else {
            return;
        };
        let now = Instant::now();
        let (service, rank) = (&accepted.head.service, accepted.head.priority.rank());
        let table = self.shared.routes.table(service);
        let level = table.lock().demand(now).of(rank);
        let outlook = self.known.see(now, service, rank, level);
        let caller = RefusedCaller {
            time_left: patience.left(now),
            slack: patience.spare,
        };
        let Some(time) = backoff(caller, &outlook, &mut rand::rng()) else {
            return;
        };
        refusal.retry_after = Some(time);
        self.shared.metrics.count("callers_told_when");
        if self.shared.decisions.may_log() {
            spdlog::info!("caller told when to return", kv: {
                call = accepted.head.call.to_string().as_str(),
                service = service.as_str(),
                class = accepted.head.class.as_str(),
                retry_after_ms = time.as_millis() as u64,
                left_ms = caller.time_left.as_millis() as u64,
                open = outlook.current(),
                trend = outlook.trend().as_str()
            });
        }
    }
}
