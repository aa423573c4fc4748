//! The faults.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Steps among which random schedules place their faults.
const STEPS: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A VM ends at once, and is replaced at the same address later.
    Crash(usize),
    /// A VM stands still past its lease and wakes unaware.
    Pause(usize),
    /// A planned stop.
    Stop(usize),
    /// A node is cut off from another one.
    CutPeers(usize, usize),
    /// A node is cut off from all others.
    CutAll(usize),
    /// A node is cut off from the platform.
    CutPlatform(usize),
    /// The platform is down for a while.
    PlatformDown,
    /// The platform's answers to writes are lost for a while.
    LoseAnswers,
    /// The next messages are lost.
    LoseMessages,
    /// The next messages come late and out of order.
    Late,
    /// The next messages come twice.
    Double,
    /// Guards shed for a while.
    Overload,
    /// Entries send once calls to instances at random.
    Misroute,
    /// Two operators change the configuration at the same moment.
    TwoOperators,
}

impl Fault {
    pub(crate) const ALL: [Self; 20] = [
        Self::Crash(0),
        Self::Crash(1),
        Self::Pause(0),
        Self::Pause(1),
        Self::Pause(2),
        Self::Stop(0),
        Self::Stop(1),
        Self::CutPeers(0, 1),
        Self::CutPeers(1, 2),
        Self::CutAll(0),
        Self::CutAll(1),
        Self::CutPlatform(0),
        Self::PlatformDown,
        Self::LoseAnswers,
        Self::LoseMessages,
        Self::Late,
        Self::Double,
        Self::Overload,
        Self::Misroute,
        Self::TwoOperators,
    ];

    /// Draws a schedule of one to six faults.
    pub(crate) fn schedule(seed: u64) -> Vec<(usize, Self)> {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let count = rng.random_range(1..=6);
        let mut faults: Vec<_> = (0..count)
            .map(|_| {
                let fault = Self::ALL[rng.random_range(0..Self::ALL.len())];
                (rng.random_range(0..STEPS), fault)
            })
            .collect();
        faults.sort_by_key(|(step, _)| *step);
        faults
    }
}
