//! Calls that a backend server makes while it runs a request.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::caller::request_body;
use crate::estate::{BULK_PATH, CALL_PATH, LEAF_PATH, STREAM_PATH, route_of};
use crate::record::{Outcome, Record, SentRequest};
use crate::sender::Sender;

/// Percentage of runs that make calls.
const CALLING_PERCENT: u32 = 15;
/// How long a server waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A run that may make calls.
pub(crate) struct ParentRun<'r> {
    pub(crate) sender: &'r Sender,
    pub(crate) id: &'r str,
    pub(crate) path: &'r str,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether the run is a repeat, or made by one.
    pub(crate) is_repeat: bool,
}

/// Records that the caller left if the call is dropped before it ends.
struct PendingCall<'r> {
    record: &'r Record,
    id: &'r str,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.record.record_left(self.id);
    }
}

impl ParentRun<'_> {
    /// Makes some calls in sequence or none; returns whether all were served.
    pub(crate) async fn make_calls(&self) -> bool {
        let path = if self.path.starts_with(CALL_PATH) {
            LEAF_PATH
        } else {
            CALL_PATH
        };
        let is_last = [LEAF_PATH, STREAM_PATH, BULK_PATH].contains(&route_of(self.path).path);
        if is_last || !rand::rng().random_ratio(CALLING_PERCENT, 100) {
            return true;
        }
        let count = rand::rng().random_range(2..=4);
        for number in 0..count {
            // The same request may run more than once.
            let suffix: u32 = rand::rng().random();
            let id = format!("{}.{number}{suffix:08x}", self.id);
            if !self.call(&id, path).await {
                return false;
            }
        }
        true
    }

    async fn call(&self, id: &str, path: &'static str) -> bool {
        let (now, record) = (Instant::now(), &self.sender.record);
        let wait = CALL_TIMEOUT.min(self.deadline.saturating_duration_since(now));
        let sent = SentRequest {
            vm: self.sender.vm,
            path,
            deadly: None,
            wait,
            is_repeat: self.is_repeat,
        };
        record.record_sent(id, sent);
        let _pending = PendingCall { record, id };
        let target = format!("{path}{id}");
        let sending = self.sender.send(id, &target, request_body(id), now + wait);
        let outcome = sending.await;
        let is_served = matches!(outcome, Outcome::Answered { status: 200, .. });
        record.record_outcome(id, outcome);
        is_served
    }
}
