//! Callers that send at a steady rate.

use std::time::Duration;

use futures_util::future::join_all;
use http::{Method, StatusCode};

use super::hosted::Vm;

/// Requests that callers sent, by how they ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// When callers were told to come back.
    pub told: Vec<Duration>,
}

impl Ends {
    pub fn all(&self) -> usize {
        self.served + self.refused + self.failed
    }
}

/// Sends reads of paths that begin with `path` to the entries in turn, so many a
/// second, and waits for all answers.
pub async fn reads(entries: &[&Vm], path: &str, per_second: u32, time: Duration) -> Ends {
    let gap = Duration::from_secs(1) / per_second;
    let count = (time.as_secs_f64() * f64::from(per_second)) as usize;
    let asks = (0..count).map(async |n| {
        tokio::time::sleep(gap * n as u32).await;
        let entry = entries[n % entries.len()];
        let (path, id) = (format!("{path}{n}"), format!("{path}{n}"));
        let answer = entry.ask(Method::GET, &path, &id).await;
        (answer.status, answer.headers.get("retry-after").cloned())
    });
    let mut ends = Ends::default();
    for (status, after) in join_all(asks).await {
        match status {
            StatusCode::OK => ends.served += 1,
            StatusCode::SERVICE_UNAVAILABLE => ends.refused += 1,
            _ => ends.failed += 1,
        }
        let after = after.and_then(|after| after.to_str().ok()?.parse().ok());
        ends.told.extend(after.map(Duration::from_secs_f64));
    }
    ends
}
