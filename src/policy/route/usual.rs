//! What calls of each kind take in the mean.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Kind;
use super::weight::Weighing;

/// Most kinds that are told apart; calls of further ones teach nothing.
const MAX_KINDS: usize = 32;
/// How a mean is learned: it follows load that comes and goes in seconds.
const MEAN: Weighing = Weighing {
    half: Duration::from_secs(2),
    most: 0.125,
    prior: 1.0,
};
/// Shortest time that is told apart.
const LEAST: Duration = Duration::from_micros(100);

#[derive(Clone, Copy, Debug)]
struct Mean {
    log: f64,
    answers: u32,
    at: Instant,
}

/// What calls of each kind take in the mean of a service's servers.
///
/// Each answer is first freed of what its server's own speed makes of it;
/// otherwise the mean would follow the fast servers, which get most calls.
#[derive(Debug, Default)]
pub(super) struct Usual {
    kinds: HashMap<Kind, Mean>,
}

impl Usual {
    /// Returns the logarithm by which a time exceeds the mean of its kind, if
    /// that is known.
    pub(super) fn excess(&self, kind: Kind, time: Duration) -> Option<f64> {
        self.kinds.get(&kind).map(|mean| log(time) - mean.log)
    }

    /// Takes note of an answer of a server whose own speed is `own`.
    pub(super) fn answered(&mut self, now: Instant, kind: Kind, time: Duration, own: f64) {
        let found = log(time) - own;
        if let Some(mean) = self.kinds.get_mut(&kind) {
            let since = now.saturating_duration_since(mean.at);
            mean.log += (found - mean.log) * MEAN.weight(mean.answers, since);
            mean.answers = mean.answers.saturating_add(1);
            mean.at = now;
        } else if self.kinds.len() < MAX_KINDS {
            let mean = Mean {
                log: found,
                answers: 1,
                at: now,
            };
            self.kinds.insert(kind, mean);
        }
    }
}

fn log(time: Duration) -> f64 {
    time.max(LEAST).as_secs_f64().ln()
}
