//! Detection of backend server crashes after a lost connection.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

use super::Guard;
use crate::model::{CrashId, Fingerprint};

/// Timeout of connecting to check whether the backend server still listens; on
/// loopback a port without a listener refuses at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long before a crash is found a call may have lost its connection to it. A
/// process that ends may close a connection before its port.
const CLOSING_TIME: Duration = Duration::from_millis(100);
/// Maximum number of lost calls that are remembered for that time.
const MAX_LOST: usize = 64;

/// Result of one check of the backend server.
#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    probed_at: Instant,
    crash: Option<CrashId>,
}

/// Distinguishes a crash, which ends all calls in flight, from one lost connection.
///
/// Of the calls that lose their connections at the same time, one checks the
/// server and the others reuse its result.
#[derive(Debug, Default)]
pub(super) struct CrashProbe {
    last: Mutex<(Option<ProbeResult>, u64)>,
    in_flight: parking_lot::Mutex<InFlight>,
}

/// The requests in flight at the backend server.
#[derive(Debug, Default)]
struct InFlight {
    next_id: u64,
    requests: HashMap<u64, (Instant, Fingerprint)>,
    /// Requests that lost their connections while the server still listened.
    lost: VecDeque<(Instant, Fingerprint)>,
}

/// Keeps a request registered as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard<'p> {
    probe: &'p CrashProbe,
    id: u64,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.probe.in_flight.lock().requests.remove(&self.id);
    }
}

impl CrashProbe {
    /// Registers a request sent at `sent_at` as in flight; `None` without a
    /// fingerprint.
    pub(super) fn register(
        &self,
        sent_at: Instant,
        request: Option<Fingerprint>,
    ) -> Option<InFlightGuard<'_>> {
        let request = request?;
        let mut in_flight = self.in_flight.lock();
        let id = in_flight.next_id;
        in_flight.next_id += 1;
        in_flight.requests.insert(id, (sent_at, request));
        Some(InFlightGuard { probe: self, id })
    }

    /// Records that a request lost its connection while the server still listened.
    pub(super) fn record_loss(&self, request: Option<Fingerprint>) {
        let Some(request) = request else {
            return;
        };
        let lost = &mut self.in_flight.lock().lost;
        lost.push_back((Instant::now(), request));
        if lost.len() > MAX_LOST {
            lost.pop_front();
        }
    }

    /// Returns the requests that a crash found at `time` may have ended.
    fn ended_at(&self, time: Instant) -> Vec<Fingerprint> {
        let mut in_flight = self.in_flight.lock();
        let lost = std::mem::take(&mut in_flight.lost).into_iter();
        let lost = lost.filter(|(at, _)| time.saturating_duration_since(*at) <= CLOSING_TIME);
        let sent = in_flight.requests.values().copied();
        let sent = sent.filter(|(sent_at, _)| *sent_at < time);
        let mut requests: Vec<Fingerprint> = sent.chain(lost).map(|(_, request)| request).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }
}

impl Guard {
    /// Returns the crash that ended a call, if there was one; the call was sent at
    /// `sent_at` and has just lost its connection.
    ///
    /// The first call to find a crash records all requests in flight, also those
    /// that have not noticed yet that their connections are lost.
    pub(super) async fn detect_crash(&self, sent_at: Instant) -> Option<CrashId> {
        let lost_at = Instant::now();
        let mut state = self.crash_probe.last.lock().await;
        let (last, count) = &mut *state;
        match last {
            Some(ProbeResult {
                probed_at,
                crash: Some(crash),
            }) if sent_at < *probed_at => return Some(*crash),
            // Sent to a server that had already crashed, and did not cause it.
            Some(ProbeResult {
                probed_at,
                crash: Some(_),
            }) if !self.backend.has_connected_since(*probed_at) => return None,
            Some(ProbeResult {
                probed_at,
                crash: None,
            }) if lost_at < *probed_at => return None,
            _ => {}
        }
        let probed_at = Instant::now();
        let refused = tokio::time::timeout(PROBE_TIMEOUT, self.backend.has_no_listener()).await;
        let crash = (refused == Ok(true)).then(|| {
            *count += 1;
            CrashId::of(self.shared.instance, self.server().as_ref(), *count)
        });
        *last = Some(ProbeResult { probed_at, crash });
        if let Some(crash) = crash {
            let requests = self.crash_probe.ended_at(probed_at);
            self.shared.record_own_crash(&requests, crash);
            self.log_crash(crash, requests.len());
        }
        crash
    }

    fn log_crash(&self, crash: CrashId, suspects: usize) {
        self.shared.metrics.count("backend_crashes");
        let server = self.server();
        spdlog::warn!("backend server crashed", kv: {
            server = server.as_ref().map_or("", |server| server.as_str()),
            crash = crash.to_string().as_str(),
            calls = self.shared.parent_calls.len(),
            suspects
        });
    }
}
