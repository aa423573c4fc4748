//! Record of what callers and backend servers observed of each request.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::estate::route_of;
use crate::notices::{Notices, RunKey};

/// One run of a request at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The VM of the backend server.
    pub(crate) vm: usize,
    /// The run of the backend server.
    pub(crate) server: RunKey,
    pub(crate) service: &'static str,
    /// The service that the daemon names as the request's origin.
    pub(crate) origin: String,
    pub(crate) at: Instant,
    /// When the work ended, by completion or because the connection closed.
    pub(crate) end_time: Option<Instant>,
    /// Whether the work ended by completion.
    pub(crate) is_complete: bool,
    /// Whether the work goes on after its connection has closed.
    pub(crate) is_detached: bool,
    /// Whether the backend server rejected the request without running it.
    pub(crate) rejected: bool,
    /// Whether method, path and body arrived as they were sent.
    pub(crate) unchanged: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// An answer arrived: its status, whether it carries a server's signature,
    /// and whether it is complete and belongs to the request.
    Answered {
        status: u16,
        signed: bool,
        fits: bool,
    },
    /// The connection ended, or the caller's wait did, without a complete answer.
    Cut,
    /// No connection could be made.
    Unreached,
    /// The caller disconnected early.
    Left,
}

impl Run {
    /// Returns whether the server was still at work at `at`, or had to break off.
    pub(crate) fn is_unfinished(&self, at: Instant) -> bool {
        !self.rejected && (!self.is_complete || self.end_time.is_none_or(|end| end > at))
    }
}

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    /// The VM of the caller.
    pub(crate) vm: usize,
    pub(crate) path: &'static str,
    /// The number of the deadly request; `None` for ordinary ones.
    pub(crate) deadly: Option<u64>,
    /// How long the caller waits.
    pub(crate) wait: Duration,
    /// Whether a run that was itself a repeat made the request.
    pub(crate) is_repeat: bool,
}

/// One request of a caller or a backend server.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// The VM of the caller.
    pub(crate) vm: usize,
    pub(crate) path: &'static str,
    /// The number of the deadly request; `None` for ordinary ones.
    pub(crate) deadly: Option<u64>,
    pub(crate) is_repeat: bool,
    pub(crate) at: Instant,
    /// When its last byte was sent.
    pub(crate) sent_at: Option<Instant>,
    /// The earlier of the caller's deadline and the timeout of the route.
    pub(crate) deadline: Instant,
    pub(crate) outcome: Option<(Instant, Outcome)>,
    pub(crate) runs: Vec<Run>,
}

/// All requests by id.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) requests: Mutex<HashMap<String, RequestRecord>>,
    /// Server crashes, each with the number of the deadly request that caused it.
    pub(crate) crashes: Mutex<Vec<(u64, Instant)>>,
    /// Ids of ordinary requests that were held like a deadly one.
    pub(crate) held_ids: Mutex<Vec<String>>,
    /// Ids of runs that no caller had requested.
    pub(crate) unknown_ids: Mutex<Vec<String>>,
    pub(crate) notices: Notices,
}

impl Record {
    pub(crate) fn record_sent(&self, id: &str, sent: SentRequest) {
        let at = Instant::now();
        let request = RequestRecord {
            vm: sent.vm,
            path: sent.path,
            deadly: sent.deadly,
            is_repeat: sent.is_repeat,
            at,
            sent_at: None,
            deadline: at + sent.wait.min(route_of(sent.path).timeout),
            outcome: None,
            runs: Vec::new(),
        };
        self.requests.lock().insert(id.to_owned(), request);
    }

    /// Records that the last byte of a request is sent now.
    pub(crate) fn record_sent_whole(&self, id: &str) {
        if let Some(request) = self.requests.lock().get_mut(id) {
            request.sent_at = Some(Instant::now());
        }
    }

    /// Records that a caller disconnected, unless its request has ended.
    pub(crate) fn record_left(&self, id: &str) {
        if let Some(request) = self.requests.lock().get_mut(id) {
            let left = (Instant::now(), Outcome::Left);
            request.outcome.get_or_insert(left);
        }
    }

    pub(crate) fn record_outcome(&self, id: &str, outcome: Outcome) {
        if let Some(request) = self.requests.lock().get_mut(id) {
            request.outcome = Some((Instant::now(), outcome));
        }
    }

    pub(crate) fn record_crash(&self, deadly: u64) {
        self.crashes.lock().push((deadly, Instant::now()));
    }

    /// Adds a run and returns its index among the runs of the request.
    pub(crate) fn record_run(&self, id: &str, run: Run) -> usize {
        match self.requests.lock().get_mut(id) {
            Some(request) => {
                request.runs.push(run);
                request.runs.len() - 1
            }
            None => {
                self.unknown_ids.lock().push(id.to_owned());
                0
            }
        }
    }

    /// Returns whether a run of a request is a repeat, or was made by one.
    pub(crate) fn is_repeat(&self, id: &str, index: usize) -> bool {
        let requests = self.requests.lock();
        index > 0 || requests.get(id).is_some_and(|request| request.is_repeat)
    }

    pub(crate) fn record_run_end(&self, id: &str, index: usize, is_complete: bool) {
        let mut all = self.requests.lock();
        let run = all
            .get_mut(id)
            .and_then(|request| request.runs.get_mut(index));
        if let Some(run) = run {
            run.end_time = Some(Instant::now());
            run.is_complete = is_complete;
        }
    }
}
