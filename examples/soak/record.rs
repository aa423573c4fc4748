//! What callers and backend servers saw of each request.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::notices::{Notices, RunKey};

/// One run of a request at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The VM of the backend server.
    pub(crate) vm: usize,
    /// The run of the backend server.
    pub(crate) server: RunKey,
    pub(crate) service: &'static str,
    /// The service that the request is said to come from.
    pub(crate) origin: String,
    pub(crate) at: Instant,
    /// When the work ended, by itself or since the connection closed.
    pub(crate) end_time: Option<Instant>,
    /// Whether the backend server said that it has not run the request.
    pub(crate) rejected: bool,
    /// Whether method, path and body were those that were sent.
    pub(crate) unchanged: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// An answer came: its status, whether it bears a server's signature, and
    /// whether it is whole and belongs to the request.
    Answered {
        status: u16,
        signed: bool,
        fits: bool,
    },
    /// The connection ended without a whole answer.
    Cut,
    /// No connection could be made.
    Unreached,
    /// The caller left early.
    Left,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// The VM of the caller.
    pub(crate) vm: usize,
    pub(crate) path: &'static str,
    /// The number of the request, if it is deadly.
    pub(crate) deadly: Option<u64>,
    pub(crate) at: Instant,
    pub(crate) outcome: Option<(Instant, Outcome)>,
    pub(crate) runs: Vec<Run>,
}

/// All requests by id.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) requests: Mutex<HashMap<String, RequestRecord>>,
    /// The crashes of servers under deadly requests, by the request's number.
    pub(crate) crashes: Mutex<Vec<(u64, Instant)>>,
    /// Ids of requests that were not deadly, and were held like one.
    pub(crate) held_ids: Mutex<Vec<String>>,
    /// Runs of requests that nobody sent.
    pub(crate) unknown_ids: Mutex<Vec<String>>,
    /// What servers said of themselves.
    pub(crate) notices: Notices,
}

impl Record {
    pub(crate) fn record_sent(&self, id: &str, vm: usize, path: &'static str, deadly: Option<u64>) {
        let request = RequestRecord {
            vm,
            path,
            deadly,
            at: Instant::now(),
            outcome: None,
            runs: Vec::new(),
        };
        self.requests.lock().insert(id.to_owned(), request);
    }

    pub(crate) fn record_outcome(&self, id: &str, outcome: Outcome) {
        if let Some(request) = self.requests.lock().get_mut(id) {
            request.outcome = Some((Instant::now(), outcome));
        }
    }

    pub(crate) fn record_crash(&self, deadly: u64) {
        self.crashes.lock().push((deadly, Instant::now()));
    }

    /// Notes a run; returns its place among those of the request.
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

    pub(crate) fn record_run_end(&self, id: &str, index: usize) {
        let mut all = self.requests.lock();
        let run = all
            .get_mut(id)
            .and_then(|request| request.runs.get_mut(index));
        if let Some(run) = run {
            run.end_time = Some(Instant::now());
        }
    }
}
