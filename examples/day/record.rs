//! What callers and servers observed of each request.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// How a request ended for its sender.
#[expect(dead_code, reason = "shown by Debug")]
#[derive(Debug)]
pub(crate) enum Outcome {
    /// Status of an answer with the signature of a server.
    Signed(u16),
    /// Status and text of an answer without one.
    Own(u16, Box<str>),
    /// The connection ended without a whole answer.
    Cut(Box<str>),
    /// No connection was made.
    Unreached,
    /// No answer came before the sender's deadline.
    Waited,
}

/// One run of a request at a server. Moments count from the start of the day.
#[expect(dead_code, reason = "shown by Debug")]
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) vm: usize,
    pub(crate) read: Duration,
    /// When it left the server's queue.
    pub(crate) begin: Option<Duration>,
    pub(crate) end: Option<Duration>,
    /// What the server answered; `None` for a run that was broken off.
    pub(crate) status: Option<u16>,
    pub(crate) rejected: bool,
}

/// A request of a caller, or a call of a server.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The VM whose daemon got it.
    pub(crate) vm: usize,
    pub(crate) class: Box<str>,
    pub(crate) sent: Duration,
    /// When the time is over that the sender named.
    pub(crate) deadline: Duration,
    /// `None` if the sender left.
    pub(crate) end: Option<(Duration, Outcome)>,
    pub(crate) runs: Vec<Run>,
}

/// All requests, by id.
#[derive(Debug)]
pub(crate) struct Record {
    start: Instant,
    pub(crate) exchanges: Mutex<HashMap<Box<str>, Exchange>>,
}

impl Record {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            exchanges: Mutex::default(),
        }
    }

    /// Returns the time since the start of the day.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Changes a request that was sent.
    pub(crate) fn update(&self, id: &str, change: impl FnOnce(&mut Exchange)) {
        if let Some(exchange) = self.exchanges.lock().get_mut(id) {
            change(exchange);
        }
    }

    /// Records that a server has read a request; the run counts as broken off if the
    /// result is dropped earlier than finished.
    pub(crate) fn read<'a>(&'a self, id: &'a str, vm: usize) -> Running<'a> {
        let run = Run {
            vm,
            read: self.now(),
            begin: None,
            end: None,
            status: None,
            rejected: false,
        };
        let mut index = 0;
        self.update(id, |exchange| {
            index = exchange.runs.len();
            exchange.runs.push(run);
        });
        Running {
            record: self,
            id,
            index,
        }
    }
}

/// A request at a server.
#[derive(Debug)]
pub(crate) struct Running<'a> {
    record: &'a Record,
    id: &'a str,
    index: usize,
}

impl Running<'_> {
    pub(crate) fn update(&self, change: impl FnOnce(&mut Run)) {
        self.record.update(self.id, |exchange| {
            if let Some(run) = exchange.runs.get_mut(self.index) {
                change(run);
            }
        });
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.update(|run| run.end = Some(self.record.now()));
    }
}
