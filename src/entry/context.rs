//! What the calls of one entry share.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use tokio::time::Instant;

use super::front::FrontState;
use crate::call::Refusal;
use crate::guard::Guard;
use crate::model::Verdict;
use crate::peer::Pool;
use crate::policy::member::Budget;
use crate::tables::Shared;

/// Home rows a second and at once that one entry may read for callers.
const OWNERSHIP_READS_PER_S: f64 = 1.0;
const OWNERSHIP_READ_BURST: f64 = 4.0;

/// Mean time after which a refused caller may come back, where nothing is
/// known of the excess.
const MEAN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Mean time after which a caller may come back that met no server in order:
/// news of another one takes about this long.
const MEAN_OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What the calls of one entry share.
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

    /// Takes leave to read a home row from the platform.
    pub(super) fn may_read_ownership(&self) -> bool {
        self.ownership_reads.lock().try_take(Instant::now())
    }

    /// Adds when the caller may come back to a refusal that does not say so,
    /// where coming back may help.
    pub(super) fn add_retry_after(&self, refusal: &mut Refusal) {
        let helps = refusal.verdict() == Verdict::NotRun && refusal.reason().is_transient();
        if helps && refusal.retry_after.is_none() {
            let time = MEAN_OUTAGE_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.5));
            refusal.retry_after = Some(time);
        }
    }

    /// Returns when a refused caller may come back, spread at random.
    pub(super) fn random_retry_after(&self) -> Duration {
        MEAN_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.5))
    }
}
