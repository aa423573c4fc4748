//! Detection of backend server crashes after a lost connection.

use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

use super::Guard;
use crate::model::CrashId;

/// Timeout of connecting to check whether the backend server still listens; on
/// loopback a port without a listener refuses at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

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
}

impl Guard {
    /// Returns the crash that ended a call, if there was one; the call was sent at
    /// `sent_at` and has just lost its connection.
    pub(super) async fn detect_crash(&self, sent_at: Instant) -> Option<CrashId> {
        let lost_at = Instant::now();
        let mut state = self.crash_probe.last.lock().await;
        let (last, count) = &mut *state;
        match last {
            Some(ProbeResult {
                probed_at,
                crash: Some(crash),
            }) if sent_at < *probed_at => return Some(*crash),
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
            self.log_crash(crash);
        }
        crash
    }

    fn log_crash(&self, crash: CrashId) {
        self.shared.metrics.count("backend_crashes");
        let server = self.server();
        spdlog::warn!("backend server crashed", kv: {
            server = server.as_ref().map_or("", |server| server.as_str()),
            crash = crash.to_string().as_str(),
            calls = self.shared.parent_calls.len()
        });
    }
}
