//! What callers and backend servers saw of each request.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::words::{RunKey, Words};

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
    pub(crate) ended: Option<Instant>,
    /// Whether the backend server said that it has not run the request.
    pub(crate) rejected: bool,
    /// Whether method, path and body were those that were sent.
    pub(crate) unchanged: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
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
pub(crate) struct Sent {
    /// The VM of the caller.
    pub(crate) vm: usize,
    pub(crate) path: &'static str,
    /// The number of the request, if it is deadly.
    pub(crate) deadly: Option<u64>,
    pub(crate) at: Instant,
    pub(crate) end: Option<(Instant, End)>,
    pub(crate) runs: Vec<Run>,
}

/// All requests by id.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) sent: Mutex<HashMap<String, Sent>>,
    /// The crashes of servers under deadly requests, by the request's number.
    pub(crate) crashes: Mutex<Vec<(u64, Instant)>>,
    /// Ids of requests that were not deadly, and were held like one.
    pub(crate) held: Mutex<Vec<String>>,
    /// Runs of requests that nobody sent.
    pub(crate) unasked: Mutex<Vec<String>>,
    /// What servers said of themselves.
    pub(crate) words: Words,
}

impl Record {
    pub(crate) fn sent(&self, id: &str, vm: usize, path: &'static str, deadly: Option<u64>) {
        let sent = Sent {
            vm,
            path,
            deadly,
            at: Instant::now(),
            end: None,
            runs: Vec::new(),
        };
        self.sent.lock().insert(id.to_owned(), sent);
    }

    pub(crate) fn ended(&self, id: &str, end: End) {
        if let Some(sent) = self.sent.lock().get_mut(id) {
            sent.end = Some((Instant::now(), end));
        }
    }

    pub(crate) fn crashed(&self, deadly: u64) {
        self.crashes.lock().push((deadly, Instant::now()));
    }

    /// Notes a run; returns its place among those of the request.
    pub(crate) fn ran(&self, id: &str, run: Run) -> usize {
        match self.sent.lock().get_mut(id) {
            Some(sent) => {
                sent.runs.push(run);
                sent.runs.len() - 1
            }
            None => {
                self.unasked.lock().push(id.to_owned());
                0
            }
        }
    }

    pub(crate) fn run_ended(&self, id: &str, place: usize) {
        let mut all = self.sent.lock();
        let run = all.get_mut(id).and_then(|sent| sent.runs.get_mut(place));
        if let Some(run) = run {
            run.ended = Some(Instant::now());
        }
    }
}
