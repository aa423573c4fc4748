//! Calls at the backend server that are dropped.

use tokio::time::Instant;

use crate::call::CallHead;
use crate::tables::{LineKind, Shared, signed_ms};

/// A call that was sent to the backend server; counted and logged if it is dropped
/// before it ends, because its caller or the entry's daemon disconnected.
pub(super) struct SentCall<'c> {
    shared: &'c Shared,
    head: &'c CallHead,
    sent_at: Instant,
    has_ended: bool,
}

impl<'c> SentCall<'c> {
    pub(super) fn new(shared: &'c Shared, head: &'c CallHead) -> Self {
        Self {
            shared,
            head,
            sent_at: Instant::now(),
            has_ended: false,
        }
    }

    /// Records that the server answered, failed or was given up.
    pub(super) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for SentCall<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let shared = self.shared;
        shared.metrics.count_backend_dropped();
        if shared.may_log(LineKind::Dropped) {
            let now = Instant::now();
            spdlog::info!("call dropped at its server", kv: {
                request = shared.protocol.request_id(&self.head.headers),
                call = self.head.call.to_string().as_str(),
                ran_ms = now.saturating_duration_since(self.sent_at).as_millis() as u64,
                left_ms = signed_ms(self.head.deadline, now),
                stopping = shared.readiness.is_stopping()
            });
        }
    }
}
