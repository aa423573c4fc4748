//! Callers that send one request after the other over a kept-alive connection.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::estate::{Addresses, DEADLY_PATH, MOVED_PATH, READ_PATH, WRITE_PATH};
use crate::record::{Outcome, Record, SentRequest};
use crate::sender::Sender;

/// How long a caller waits for an answer.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);
/// Mean pause between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// Percentage of reads that their callers abandon.
const ABANDONED_PERCENT: u32 = 4;
/// How long callers wait before they abandon a request.
const ABANDON_DELAY: Duration = Duration::from_millis(150);

/// The body of all deadly requests.
pub(crate) const DEADLY_BODY: &str = "deadly";
/// Mean pause between two sends of the same deadly request.
const DEADLY_PAUSE: Duration = Duration::from_millis(300);
/// How long the same deadly request is sent before the next one.
const DEADLY_PERIOD: Duration = Duration::from_secs(12);
/// Returns the body of an ordinary request.
pub(crate) fn request_body(id: &str) -> String {
    format!("body of {id}")
}

/// One caller of a VM's daemon.
pub(crate) struct Caller {
    name: String,
    rng: StdRng,
    sender: Sender,
    pause: Duration,
}

impl Caller {
    pub(crate) fn new(
        vm: usize,
        index: usize,
        seed: u64,
        at: &Addresses,
        record: Arc<Record>,
    ) -> Self {
        Self {
            name: format!("c{vm}x{index}"),
            rng: StdRng::seed_from_u64(seed ^ (vm * 1000 + index) as u64),
            sender: Sender::new(vm, at.callers, 1, record),
            pause: REQUEST_PAUSE,
        }
    }

    /// Multiplies the pauses between requests.
    pub(crate) fn slow_down(mut self, factor: f64) -> Self {
        self.pause = self.pause.mul_f64(factor);
        self
    }

    /// Sends requests until `stop` is set.
    pub(crate) async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut count = 0;
        while !*stop.borrow() {
            count += 1;
            let id = format!("{}n{count}", self.name);
            let path = match self.rng.random_range(0..10) {
                0..5 => READ_PATH,
                5..8 => WRITE_PATH,
                _ => MOVED_PATH,
            };
            let abandons = path == READ_PATH && self.rng.random_ratio(ABANDONED_PERCENT, 100);
            self.record_sent(&id, path, None);
            let (target, body) = (format!("{path}{id}"), request_body(&id));
            let deadline = Instant::now() + DEADLINE;
            let sending = self.sender.send(&id, &target, body, deadline);
            let outcome = if abandons {
                let answer = tokio::time::timeout(ABANDON_DELAY, sending).await;
                answer.unwrap_or(Outcome::Left)
            } else {
                sending.await
            };
            self.sender.record.record_outcome(&id, outcome);
            tokio::time::sleep(self.pause.mul_f64(self.rng.random_range(0.5..1.5))).await;
        }
    }

    fn record_sent(&self, id: &str, path: &'static str, deadly: Option<u64>) {
        let request = SentRequest {
            vm: self.sender.vm,
            path,
            deadly,
            wait: DEADLINE,
            is_repeat: false,
        };
        self.sender.record.record_sent(id, request);
    }

    /// Repeats a deadly request until `stop` is set, with a new one every
    /// `DEADLY_PERIOD`.
    ///
    /// No new one starts after `end`, since its crashes would be further faults.
    pub(crate) async fn repeat_deadly_request(mut self, stop: watch::Receiver<bool>, end: Instant) {
        let (start, mut count) = (Instant::now(), 0);
        while !*stop.borrow() {
            count += 1;
            let elapsed = Instant::now().min(end).saturating_duration_since(start);
            let deadly = elapsed.as_secs() / DEADLY_PERIOD.as_secs();
            let id = format!("{}d{count}", self.name);
            let target = format!("{DEADLY_PATH}{deadly}");
            self.record_sent(&id, DEADLY_PATH, Some(deadly));
            let deadline = Instant::now() + DEADLINE;
            let sending = self
                .sender
                .send(&id, &target, DEADLY_BODY.to_owned(), deadline);
            let outcome = sending.await;
            self.sender.record.record_outcome(&id, outcome);
            tokio::time::sleep(DEADLY_PAUSE.mul_f64(self.rng.random_range(0.5..1.5))).await;
        }
    }
}
