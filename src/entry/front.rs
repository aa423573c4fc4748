//! Detection of callers' retries, and retry times of refused callers.

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
use crate::tables::LineKind;

/// Maximum number of routes, and of classes of services, that state is kept for.
/// A full map is cleared, which drops the names of earlier configurations.
const MAX_ENTRIES: usize = 4096;

/// Detected retries by route, and admitted shares by service and class.
#[derive(Default)]
pub(super) struct FrontState {
    retry_detectors: Mutex<HashMap<RouteName, RetryDetector>>,
    admitted_shares: Mutex<HashMap<(ServiceName, ClassRank), AdmittedShare>>,
}

impl FrontState {
    /// Records a request, and returns how long its caller has waited if it is a
    /// retry.
    fn observe(&self, caller_time: &CallerTime) -> Option<Duration> {
        let now = caller_time.arrived_at;
        let mut retry_detectors = self.retry_detectors.lock();
        if !retry_detectors.contains_key(&caller_time.route) && retry_detectors.len() >= MAX_ENTRIES
        {
            retry_detectors.clear();
        }
        let detector = retry_detectors
            .entry(caller_time.route.clone())
            .or_insert_with(|| RetryDetector::new(now));
        detector.observe(now, caller_time.timeout)
    }

    /// Records the level that a service demands of a class, and returns the
    /// admitted share.
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
        let admitted_share = admitted_shares.entry(key).or_default();
        admitted_share.record(now, rank, level);
        *admitted_share
    }
}

impl Context {
    /// Records the timeout of a caller, and boosts the priority of a retry within
    /// its class.
    pub(super) fn boost_retry(&self, accepted: &mut AcceptedRequest) {
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

    /// Sets when a caller that is refused because of overload may retry.
    pub(super) fn set_backoff(&self, accepted: &AcceptedRequest, refusal: &mut Refusal) {
        let sets_backoff = accepted.front_options.backoff
            && accepted.parent.is_none()
            && refusal.verdict() == Verdict::NotRun
            && refusal.reason().is_overload()
            // These get their retry time from the server's requested rate.
            && refusal.reason() != Reason::Shed(Shed::Limited);
        let (true, Some(caller_time)) = (sets_backoff, &accepted.caller_time) else {
            return;
        };
        let now = Instant::now();
        let (service, rank) = (&accepted.head.service, accepted.head.priority.rank());
        let table = self.shared.targets.table(service);
        let level = table.lock().demand(now).of(rank);
        let admitted_share = self.front.record_level(now, service, rank, level);
        let caller = RefusedCaller {
            time_left: caller_time.time_left(now),
            slack: caller_time.slack,
        };
        let Some(time) = backoff(caller, &admitted_share, &mut rand::rng()) else {
            return;
        };
        refusal.retry_after = Some(time);
        self.shared.metrics.count("callers_told_when");
        if self.shared.log_limiter.try_take(LineKind::Refused) {
            spdlog::info!("refused call with a retry time", kv: {
                call = accepted.head.call.to_string().as_str(),
                service = service.as_str(),
                class = accepted.head.class.as_str(),
                retry_after_ms = time.as_millis() as u64,
                left_ms = caller.time_left.as_millis() as u64,
                open = admitted_share.current(),
                trend = admitted_share.trend().as_str()
            });
        }
    }
}
