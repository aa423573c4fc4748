//! The latest decisions on calls at this daemon, for `bramleyctl explain`.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;

use http::StatusCode;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::unix_ms;
use crate::model::{CallId, Instance};

/// Maximum number of records; the oldest is dropped first.
const MAX_RECORDS: usize = 8192;

/// A step in the handling of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallStep {
    /// The entry accepted the call.
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
    /// The step.
    pub step: CallStep,
    /// The target of the step or the reason for it.
    pub detail: Box<str>,
    /// When, in milliseconds of Unix time.
    pub unix_ms: u64,
}

/// Further data on a step, formatted only when it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDetail {
    /// No further data.
    None,
    /// A fixed reason.
    Reason(&'static str),
    /// The status of an answer.
    Status(StatusCode),
    /// The daemon that a call was sent to.
    Target(Instance),
}

impl fmt::Display for StepDetail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => Ok(()),
            Self::Reason(reason) => f.write_str(reason),
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

/// The latest decisions on calls, bounded in number.
#[derive(Default)]
pub struct CallJournal {
    records: Mutex<VecDeque<Record>>,
}

impl CallJournal {
    /// Records a step of a call.
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

    /// Returns the addresses of the daemons that a call was sent to, in order.
    pub fn targets(&self, call: CallId) -> Vec<SocketAddr> {
        let records = self.records.lock();
        let of_call = records.iter().filter(|record| record.call == call);
        let targets = of_call.filter_map(|record| match (record.step, record.detail) {
            (CallStep::Sent, StepDetail::Target(target)) => Some(target.address),
            _ => None,
        });
        targets.collect()
    }

    /// Returns the entries of a call, oldest first.
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
