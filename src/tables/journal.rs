//! What this daemon decided on recent calls, for `bramleyctl explain`.

use std::collections::VecDeque;
use std::fmt;

use http::StatusCode;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::unix_ms;
use crate::model::{CallId, Instance};

/// Notes that are kept.
const MAX_RECORDS: usize = 8192;

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallStep {
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
pub struct JournalEntry {
    /// The call, in hex.
    pub call: Box<str>,
    /// What was decided.
    pub step: CallStep,
    /// More on it: where to, and why.
    pub detail: Box<str>,
    /// When, in milliseconds of Unix time.
    pub unix_ms: u64,
}

/// What is noted beside a step; made into text only when somebody asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDetail {
    /// Nothing.
    None,
    /// A fixed word.
    Word(&'static str),
    /// The status of an answer.
    Status(StatusCode),
    /// The daemon that a call was sent to.
    Target(Instance),
}

impl fmt::Display for StepDetail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => Ok(()),
            Self::Word(word) => f.write_str(word),
            Self::Status(status) => f.write_str(status.as_str()),
            Self::Target(target) => target.fmt(f),
        }
    }
}

#[derive(Clone, Copy)]
struct Record {
    call: CallId,
    step: CallStep,
    detail: StepDetail,
    unix_ms: u64,
}

/// The latest notes, bounded in number.
#[derive(Default)]
pub struct CallJournal {
    records: Mutex<VecDeque<Record>>,
}

impl CallJournal {
    /// Adds a note.
    pub fn record(&self, call: CallId, step: CallStep, detail: StepDetail) {
        let record = Record {
            call,
            step,
            detail,
            unix_ms: unix_ms(),
        };
        let mut records = self.records.lock();
        if records.len() >= MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the notes on a call, oldest first.
    pub fn find(&self, call: CallId) -> Vec<JournalEntry> {
        self.records
            .lock()
            .iter()
            .filter(|record| record.call == call)
            .map(|record| JournalEntry {
                call: call.to_string().into(),
                step: record.step,
                detail: record.detail.to_string().into(),
                unix_ms: record.unix_ms,
            })
            .collect()
    }
}
