//! What is counted of each call.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, QueuingMetricSink, StatsdClient, Timed};

use super::{Group, MetricsRow, MetricsTable};
use crate::error::Error;

/// What all names begin with.
const PREFIX: &str = "bramleymount";
/// Lines that wait for the metrics socket; more are dropped.
const QUEUE: usize = 4096;

/// How a call ended at the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// With the backend server's whole answer.
    Complete,
    /// It was shed.
    Shed,
    /// In any other way.
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
    /// Set if there is an address to send to; no line is made up otherwise.
    client: Option<StatsdClient>,
    classes: MetricsTable,
    callers: MetricsTable,
}

impl Metrics {
    /// Sends metrics to `address` by UDP, or nowhere.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be had.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, Error> {
        let client = match address {
            Some(address) => {
                let failed = |e| Error::io("open a socket for metrics", e);
                let socket = UdpSocket::bind("0.0.0.0:0").map_err(failed)?;
                socket.set_nonblocking(true).map_err(failed)?;
                let sink = BufferedUdpMetricSink::from(address, socket)
                    .map_err(|e| Error::remote(format!("metrics: {e}")))?;
                let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
                Some(StatsdClient::from_sink(PREFIX, sink))
            }
            None => None,
        };
        Ok(Self {
            client,
            classes: MetricsTable::default(),
            callers: MetricsTable::default(),
        })
    }

    /// Counts a call that ended at the entry.
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

    /// Counts an event under a fixed name.
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

    /// Returns the histograms of a group.
    pub fn rows(&self, group: Group) -> Vec<MetricsRow> {
        match group {
            Group::Class => self.classes.rows(),
            Group::Caller => self.callers.rows(),
        }
    }
}
