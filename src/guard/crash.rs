//! Whether the backend server crashed under a call.

use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

use super::Guard;
use crate::model::CrashId;

/// How long the backend server is asked for whether it is still there; on
/// loopback a port without a listener answers at once.
const PROBE: Duration = Duration::from_millis(200);

/// What was last found out about the backend server.
#[derive(Clone, Copy, Debug)]
struct Found {
    at: Instant,
    crash: Option<CrashId>,
}

/// Tells a crash, which ends all calls under way, from an answer that was cut.
///
/// Of the calls that are cut at one time one looks, and the others take what
/// it found.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    found: Mutex<(Option<Found>, u64)>,
}

impl Guard {
    /// Finds out whether the backend server crashed under a call that was sent
    /// to it at `began` and was cut just now.
    pub(super) async fn crash_since(&self, began: Instant) -> Option<CrashId> {
        let cut = Instant::now();
        let mut state = self.crashes.found.lock().await;
        let (found, count) = &mut *state;
        match found {
            Some(Found {
                at,
                crash: Some(crash),
            }) if began < *at => return Some(*crash),
            Some(Found { at, crash: None }) if cut < *at => return None,
            _ => {}
        }
        let at = Instant::now();
        let gone = tokio::time::timeout(PROBE, self.backend.is_gone()).await;
        let crash = (gone == Ok(true)).then(|| {
            *count += 1;
            CrashId::of(self.shared.instance, self.server().as_ref(), *count)
        });
        *found = Some(Found { at, crash });
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
            calls = self.shared.calls.len()
        });
    }
}
