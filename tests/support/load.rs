//! Callers that send requests at a constant rate.

use std::time::Duration;

use futures_util::future::join_all;
use http::{Method, StatusCode};

use super::hosted::Vm;

/// Numbers of requests by their outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadOutcomes {
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// The `retry-after` delays of the answers that carry one.
    pub retry_after: Vec<Duration>,
}

impl ReadOutcomes {
    pub fn total(&self) -> usize {
        self.served + self.refused + self.failed
    }
}

/// Sends `per_second` reads for `time` to the entries in turn and waits for all
/// answers. The paths consist of `path` and a number.
pub async fn send_reads(
    entries: &[&Vm],
    path: &str,
    per_second: u32,
    time: Duration,
) -> ReadOutcomes {
    let gap = Duration::from_secs(1) / per_second;
    let count = (time.as_secs_f64() * f64::from(per_second)) as usize;
    let requests = (0..count).map(async |n| {
        tokio::time::sleep(gap * n as u32).await;
        let entry = entries[n % entries.len()];
        let (path, id) = (format!("{path}{n}"), format!("{path}{n}"));
        let answer = entry.send(Method::GET, &path, &id).await;
        (answer.status, answer.headers.get("retry-after").cloned())
    });
    let mut outcomes = ReadOutcomes::default();
    for (status, after) in join_all(requests).await {
        match status {
            StatusCode::OK => outcomes.served += 1,
            StatusCode::SERVICE_UNAVAILABLE => outcomes.refused += 1,
            _ => outcomes.failed += 1,
        }
        let after = after.and_then(|after| after.to_str().ok()?.parse().ok());
        outcomes
            .retry_after
            .extend(after.map(Duration::from_secs_f64));
    }
    outcomes
}
