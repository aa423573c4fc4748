//! What callers and servers observed of each request.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// How a request ended for its sender.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    Answer {
        status: u16,
        /// Whether the answer bears the signature of a server.
        signed: bool,
        /// The text of an answer without signature.
        text: Box<str>,
    },
    /// The connection ended without a whole answer.
    Cut(Box<str>),
    /// No connection was made.
    Unreached,
    /// No answer came before the sender's deadline.
    Waited,
    /// The sender left earlier.
    Left,
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) vm: usize,
    pub(crate) read: Instant,
    /// When it left the server's queue.
    pub(crate) begin: Option<Instant>,
    pub(crate) end: Option<Instant>,
    /// What the server answered; `None` for a run that was broken off.
    pub(crate) status: Option<u16>,
    pub(crate) rejected: bool,
}

/// A request of a caller, or a call of a server.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    /// The VM whose daemon got it.
    pub(crate) vm: usize,
    pub(crate) class: usize,
    pub(crate) sent: Instant,
    /// The time that the sender named.
    pub(crate) wait: Duration,
    pub(crate) end: Option<(Instant, Outcome)>,
    pub(crate) runs: Vec<Run>,
}

impl Run {
    /// Returns whether the server had the request in hand at `moment`, or lost it
    /// before because it was broken off.
    pub(crate) fn is_at_work(&self, moment: Instant) -> bool {
        let answered = self.status.is_some() && self.end.is_some_and(|end| end <= moment);
        !self.rejected && self.read <= moment && !answered
    }
}

/// All requests, by id.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) exchanges: Mutex<HashMap<Box<str>, Exchange>>,
}

impl Record {
    /// Records a request that is being sent; it counts as left by its sender until it
    /// is finished.
    pub(crate) fn send<'a>(&'a self, id: &'a str, exchange: Exchange) -> Sending<'a> {
        self.exchanges.lock().insert(id.into(), exchange);
        Sending { record: self, id }
    }

    /// Records that a server has read a request.
    pub(crate) fn read<'a>(&'a self, id: &'a str, vm: usize) -> Running<'a> {
        let run = Run {
            vm,
            read: Instant::now(),
            begin: None,
            end: None,
            status: None,
            rejected: false,
        };
        let mut exchanges = self.exchanges.lock();
        let index = exchanges.get_mut(id).map_or(0, |exchange| {
            exchange.runs.push(run);
            exchange.runs.len() - 1
        });
        Running {
            record: self,
            id,
            index,
        }
    }
}

/// A request that is being sent.
#[derive(Debug)]
pub(crate) struct Sending<'a> {
    record: &'a Record,
    id: &'a str,
}

impl Sending<'_> {
    pub(crate) fn finish(self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&self, outcome: Outcome) {
        if let Some(exchange) = self.record.exchanges.lock().get_mut(self.id) {
            exchange
                .end
                .get_or_insert_with(|| (Instant::now(), outcome));
        }
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        self.end(Outcome::Left);
    }
}

/// A request at a server; it counts as broken off until it is finished.
#[derive(Debug)]
pub(crate) struct Running<'a> {
    record: &'a Record,
    id: &'a str,
    index: usize,
}

impl Running<'_> {
    pub(crate) fn begin(&self) {
        self.update(|run| run.begin = Some(Instant::now()));
    }

    pub(crate) fn finish(self, status: u16, rejected: bool) {
        self.update(|run| {
            run.status = Some(status);
            run.rejected = rejected;
        });
    }

    fn update(&self, change: impl FnOnce(&mut Run)) {
        let mut exchanges = self.record.exchanges.lock();
        let exchange = exchanges.get_mut(self.id);
        if let Some(run) = exchange.and_then(|exchange| exchange.runs.get_mut(self.index)) {
            change(run);
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.update(|run| run.end = Some(Instant::now()));
    }
}
