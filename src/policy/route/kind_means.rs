//! Mean time of calls by kind.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::CallKind;
use super::smoothing::Smoothing;

/// Most kinds that are tracked; calls of further kinds are ignored.
const MAX_KINDS: usize = 32;
/// Smoothing of a mean, which follows load that changes within seconds.
const MEAN_SMOOTHING: Smoothing = Smoothing {
    half_life: Duration::from_secs(2),
    max_weight: 0.125,
    prior_count: 1.0,
};
/// Shortest time that is distinguished.
const MIN_TIME: Duration = Duration::from_micros(100);

#[derive(Clone, Copy, Debug)]
struct Mean {
    log: f64,
    answers: u32,
    updated_at: Instant,
}

/// Mean time of calls by kind, over the servers of a service.
///
/// Each answer is first corrected for its server's steady ratio; otherwise the
/// mean would follow the fast servers, which get most calls.
#[derive(Debug, Default)]
pub(super) struct KindMeans {
    kinds: HashMap<CallKind, Mean>,
}

impl KindMeans {
    /// Returns the logarithm by which a time exceeds the mean of its kind, if the
    /// mean is known.
    pub(super) fn log_excess(&self, kind: CallKind, time: Duration) -> Option<f64> {
        self.kinds.get(&kind).map(|mean| log(time) - mean.log)
    }

    /// Records an answer of a server whose steady ratio has the logarithm
    /// `steady_log`.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        kind: CallKind,
        time: Duration,
        steady_log: f64,
    ) {
        let adjusted_log = log(time) - steady_log;
        if let Some(mean) = self.kinds.get_mut(&kind) {
            let elapsed = now.saturating_duration_since(mean.updated_at);
            mean.log += (adjusted_log - mean.log) * MEAN_SMOOTHING.weight(mean.answers, elapsed);
            mean.answers = mean.answers.saturating_add(1);
            mean.updated_at = now;
        } else if self.kinds.len() < MAX_KINDS {
            let mean = Mean {
                log: adjusted_log,
                answers: 1,
                updated_at: now,
            };
            self.kinds.insert(kind, mean);
        }
    }
}

fn log(time: Duration) -> f64 {
    time.max(MIN_TIME).as_secs_f64().ln()
}
