//! Record of what callers and backend servers observed of each request.

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
    /// The service that the daemon names as the request's origin.
    pub(crate) origin: String,
    pub(crate) at: Instant,
    /// When the work ended, by completion or because the connection closed.
    pub(crate) end_time: Option<Instant>,
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

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// The VM of the caller.
    pub(crate) vm: usize,
    pub(crate) path: &'static str,
    /// The number of the deadly request; `None` for ordinary ones.
    pub(crate) deadly: Option<u64>,
    pub(crate) at: Instant,
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
