//! Metrics of calls, and their export by UDP.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, QueuingMetricSink, StatsdClient, Timed};

use super::losses::LossCounts;
use super::{Group, MetricsRow, MetricsTable};
use crate::error::Error;

/// Prefix of all metric names.
const NAME_PREFIX: &str = "bramleymount";
/// Maximum number of lines that wait for the metrics socket; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4096;

/// How a call ended at the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// The backend server's answer is complete.
    Complete,
    /// The call was shed.
    Shed,
    /// The call failed for another reason.
    Failed,
}

impl CallStatus {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Shed => "shed",
            Self::Failed => "failed",
        }
    }
}

/// Counters and histograms of one daemon.
pub struct Metrics {
    /// Set if there is an address to send to; without one no line is formatted.
    client: Option<StatsdClient>,
    classes: MetricsTable,
    callers: MetricsTable,
    losses: LossCounts,
}

impl Metrics {
    /// Creates the metrics; sends them to `address` by UDP, if given.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, Error> {
        let client = match address {
            Some(address) => {
                let failed = |e| Error::io("open a socket for metrics", e);
                let socket = UdpSocket::bind("0.0.0.0:0").map_err(failed)?;
                socket.set_nonblocking(true).map_err(failed)?;
                let sink = BufferedUdpMetricSink::from(address, socket)
                    .map_err(|e| Error::remote(format!("metrics: {e}")))?;
                let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_LINES);
                Some(StatsdClient::from_sink(NAME_PREFIX, sink))
            }
            None => None,
        };
        Ok(Self {
            client,
            classes: MetricsTable::default(),
            callers: MetricsTable::default(),
            losses: LossCounts::default(),
        })
    }

    /// Records a call that ended at the entry.
    pub fn record_call(
        &self,
        class: &str,
        caller: &str,
        status: CallStatus,
        latency: Duration,
        retries: u32,
    ) {
        self.classes.record(class, status, latency, retries);
        self.callers.record(caller, status, latency, retries);
        let Some(client) = &self.client else {
            return;
        };
        client
            .count_with_tags("calls", 1)
            .with_tag("class", class)
            .with_tag("caller", caller)
            .with_tag("ending", status.as_str())
            .send();
        if status == CallStatus::Complete {
            client
                .time_with_tags("latency", latency)
                .with_tag("class", class)
                .with_tag("caller", caller)
                .send();
        }
    }

    /// Counts an event.
    pub fn count(&self, name: &'static str) {
        if let Some(client) = &self.client {
            let _ = client.count(name, 1);
        }
    }

    /// Counts an event with its reason.
    pub fn count_reason(&self, name: &'static str, reason: &'static str) {
        if let Some(client) = &self.client {
            client
                .count_with_tags(name, 1)
                .with_tag("reason", reason)
                .send();
        }
    }

    /// Counts a request that was dropped before its answer was decided.
    pub fn count_dropped(&self, is_sent: bool) {
        self.losses.count_dropped(is_sent);
        let reason = if is_sent { "sent" } else { "not-sent" };
        self.count_reason("dropped", reason);
    }

    /// Counts an answer that was decided but not sent completely.
    pub fn count_unsent_answer(&self) {
        self.losses.count_unsent_answer();
        self.count("answers_unsent");
    }

    /// Counts a call that was dropped while the backend server had it.
    pub fn count_backend_dropped(&self) {
        self.losses.count_backend_dropped();
        self.count("backend_dropped");
    }

    /// Counts answers to earlier requests that the backend server sent late.
    pub fn count_late_answers(&self, count: u64) {
        self.losses.count_late_answers(count);
        if let Some(client) = &self.client {
            let _ = client.count("late_answers", count);
        }
    }

    /// Formats the counts of dropped requests, answers not sent completely, and late ones.
    pub fn loss_page(&self) -> String {
        self.losses.page()
    }

    /// Returns the metrics by class or by caller.
    pub fn rows(&self, group: Group) -> Vec<MetricsRow> {
        match group {
            Group::Class => self.classes.rows(),
            Group::Caller => self.callers.rows(),
        }
    }
}
