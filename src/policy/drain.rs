//! Onward calls at a daemon that stops as planned.

use std::time::Duration;

use tokio::time::Instant;

/// How long a stopping daemon accepts onward calls whatever time they have. The platform
/// excuses calls given up at the end of the grace if they were sent within 3 s of the
/// signal, which comes a little earlier than the stop begins.
const OPEN_TIME: Duration = Duration::from_millis(2750);
/// The part of the drain after which calls must fit into the rest, if that is sooner.
const OPEN_SHARE: f64 = 0.5;

/// Which onward calls a stopping daemon accepts.
///
/// A call that has reached a server can't be taken back, so one that may still run when
/// the drain ends is refused while it is known not to have run. What calls usually take
/// is no guide: the one that takes longer is lost.
#[derive(Clone, Copy, Debug)]
pub struct OnwardDrain {
    open_until: Instant,
    end: Instant,
}

impl OnwardDrain {
    /// Plans a drain of the length `time` that starts at `begin`.
    pub fn new(begin: Instant, time: Duration) -> Self {
        Self {
            open_until: begin + OPEN_TIME.min(time.mul_f64(OPEN_SHARE)),
            end: begin + time,
        }
    }

    /// Returns whether a call that arrives now and has until `deadline` is accepted.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now < self.open_until || deadline <= self.end
    }
}
