//! What this daemon decided on recent calls, for `bramleyctl explain`.

use std::collections::VecDeque;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::model::CallId;

/// Notes that are kept.
const KEPT: usize = 8192;

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The entry took the call.
    Entered,
    /// The entry sent an attempt.
    Sent,
    /// The entry made another attempt.
    Retried,
    /// The entry refused the call itself.
    Refused,
    /// The guard started the call.
    Started,
    /// The guard shed the call.
    Shed,
    /// The backend server answered.
    Answered,
    /// The attempt was lost.
    Lost,
}

/// One decision on one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The call, in hex.
    pub call: Box<str>,
    /// What was decided.
    pub step: Step,
    /// More on it: where to, and why.
    pub detail: Box<str>,
    /// When, in milliseconds of Unix time.
    pub unix_ms: u64,
}

/// The latest notes, bounded in number.
#[derive(Debug, Default)]
pub struct Journal {
    notes: Mutex<VecDeque<(CallId, Step, Box<str>, u64)>>,
}

impl Journal {
    /// Adds a note.
    pub fn note(&self, call: CallId, step: Step, detail: impl Into<Box<str>>) {
        let mut notes = self.notes.lock();
        if notes.len() >= KEPT {
            notes.pop_front();
        }
        notes.push_back((call, step, detail.into(), crate::tables::shared::unix_ms()));
    }

    /// Returns the notes on a call, oldest first.
    pub fn find(&self, call: CallId) -> Vec<Note> {
        self.notes
            .lock()
            .iter()
            .filter(|(id, ..)| *id == call)
            .map(|(id, step, detail, unix_ms)| Note {
                call: id.to_string().into(),
                step: *step,
                detail: detail.clone(),
                unix_ms: *unix_ms,
            })
            .collect()
    }
}
