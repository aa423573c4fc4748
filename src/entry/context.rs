//! State shared by the calls of one entry.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use tokio::time::Instant;

use super::front::FrontState;
use crate::call::{Reason, Refusal};
use crate::guard::Guard;
use crate::model::Verdict;
use crate::peer::Pool;
use crate::policy::admission::Shed;
use crate::policy::member::Budget;
use crate::tables::Shared;

/// Ownership rows that one entry may read for callers per second.
const OWNERSHIP_READS_PER_S: f64 = 1.0;
/// Ownership rows that one entry may read for callers at once.
const OWNERSHIP_READ_BURST: f64 = 4.0;

/// Mean time after which a refused caller may retry if the excess load is
/// unknown.
const MEAN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Mean time after which a caller may retry if no server could take the call:
/// an update about another server takes about this long.
const MEAN_OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(250);

/// State shared by the calls of one entry.
pub(super) struct Context {
    pub(super) shared: Arc<Shared>,
    pub(super) guard: Arc<Guard>,
    pub(super) pool: Arc<Pool>,
    pub(super) front: FrontState,
    ownership_reads: Mutex<Budget>,
}

impl Context {
    pub(super) fn new(shared: Arc<Shared>, guard: Arc<Guard>, pool: Arc<Pool>) -> Self {
        Self {
            shared,
            guard,
            pool,
            front: FrontState::default(),
            ownership_reads: Mutex::new(Budget::new(
                Instant::now(),
                OWNERSHIP_READS_PER_S,
                OWNERSHIP_READ_BURST,
            )),
        }
    }

    /// Returns whether an ownership row may be read from the platform now, and
    /// counts the read.
    pub(super) fn may_read_ownership(&self) -> bool {
        self.ownership_reads.lock().try_take(Instant::now())
    }

    /// Adds a retry time to a refusal that has none, if a retry may help.
    pub(super) fn add_retry_after(&self, refusal: &mut Refusal) {
        let helps = refusal.verdict() == Verdict::NotRun && refusal.reason().is_transient();
        if !helps || refusal.retry_after.is_some() {
            return;
        }
        refusal.retry_after = Some(match refusal.reason() {
            Reason::Shed(Shed::Memory) => self.random_retry_after(),
            _ => MEAN_OUTAGE_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.5)),
        });
    }

    /// Returns when a refused caller may retry, at random to spread the retries.
    pub(super) fn random_retry_after(&self) -> Duration {
        MEAN_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.5))
    }
}
