//! What the front knows of callers' times and of the room for them.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use super::accept::AcceptedRequest;
use super::caller_time::CallerTime;
use super::context::Context;
use crate::call::{Reason, Refusal};
use crate::model::{ClassRank, Level, Priority, RouteName, ServiceName, Verdict};
use crate::policy::admission::Shed;
use crate::policy::front::{AdmittedShare, RefusedCaller, RetryDetector, backoff, boosted_root};

/// Most routes, and most classes of services, of which anything is known; the
/// names of earlier configurations are dropped when there are more.
const MAX_ENTRIES: usize = 4096;

/// What the front knows of callers' times and of the room for them.
#[derive(Default)]
pub(super) struct FrontState {
    retries: Mutex<HashMap<RouteName, RetryDetector>>,
    admitted_shares: Mutex<HashMap<(ServiceName, ClassRank), AdmittedShare>>,
}

impl FrontState {
    /// Takes note of a request, and returns how long its caller has waited if it
    /// is a retry.
    fn observe(&self, caller_time: &CallerTime) -> Option<Duration> {
        let now = caller_time.arrived_at;
        let mut retries = self.retries.lock();
        if !retries.contains_key(&caller_time.route) && retries.len() >= MAX_ENTRIES {
            retries.clear();
        }
        let detector = retries
            .entry(caller_time.route.clone())
            .or_insert_with(|| RetryDetector::new(now));
        detector.observe(now, caller_time.timeout)
    }

    /// Takes note of the level that a service demands of a class.
    fn record_level(
        &self,
        now: Instant,
        service: &ServiceName,
        rank: ClassRank,
        level: Level,
    ) -> AdmittedShare {
        let mut admitted_shares = self.admitted_shares.lock();
        let key = (service.clone(), rank);
        if !admitted_shares.contains_key(&key) && admitted_shares.len() >= MAX_ENTRIES {
            admitted_shares.clear();
        }
        let admitted = admitted_shares.entry(key).or_default();
        admitted.record(now, rank, level);
        *admitted
    }
}

impl Context {
    /// Takes note of the time that a caller has, and puts one who comes back
    /// before others of its class.
    pub(super) fn boost_returning(&self, accepted: &mut AcceptedRequest) {
        if !accepted.front_options.uses_time() || accepted.parent.is_some() {
            return;
        }
        let Some(caller_time) = &mut accepted.caller_time else {
            return;
        };
        let Some(waited) = self.front.observe(caller_time) else {
            return;
        };
        caller_time.slack = caller_time.slack.saturating_sub(waited);
        self.shared.metrics.count("caller_retries");
        let head = &mut accepted.head;
        if accepted.front_options.boost && !head.single_call {
            head.root = boosted_root(head.root);
            head.priority = Priority::new(head.priority.rank(), head.depth, head.root);
        }
    }

    /// Tells a caller that is refused for want of room when to come back.
    pub(super) fn set_backoff(&self, accepted: &AcceptedRequest, refusal: &mut Refusal) {
        let sets_backoff = accepted.front_options.backoff
            && accepted.parent.is_none()
            && refusal.verdict() == Verdict::NotRun
            && refusal.reason().is_overload()
            // The server's rate says when there is room.
            && refusal.reason() != Reason::Shed(Shed::Limited);
        let (true, Some(caller_time)) = (sets_backoff, &accepted.caller_time) else {
            return;
        };
        let now = Instant::now();
        let (service, rank) = (&accepted.head.service, accepted.head.priority.rank());
        let table = self.shared.targets.table(service);
        let level = table.lock().demand(now).of(rank);
        let admitted = self.front.record_level(now, service, rank, level);
        let caller = RefusedCaller {
            time_left: caller_time.time_left(now),
            slack: caller_time.slack,
        };
        let Some(time) = backoff(caller, &admitted, &mut rand::rng()) else {
            return;
        };
        refusal.retry_after = Some(time);
        self.shared.metrics.count("callers_told_when");
        if self.shared.log_limiter.try_take() {
            spdlog::info!("caller told when to return", kv: {
                call = accepted.head.call.to_string().as_str(),
                service = service.as_str(),
                class = accepted.head.class.as_str(),
                retry_after_ms = time.as_millis() as u64,
                left_ms = caller.time_left.as_millis() as u64,
                open = admitted.current(),
                trend = admitted.trend().as_str()
            });
        }
    }
}
