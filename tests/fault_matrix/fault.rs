//! The faults that can be injected.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Random schedules place their faults before this step.
const MAX_STEP: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A VM crashes and is replaced at the same address later.
    Crash(usize),
    /// A VM is paused beyond its lease and resumes without noticing.
    Pause(usize),
    /// A VM is stopped as planned.
    Stop(usize),
    /// Two nodes cannot reach each other.
    CutPeers(usize, usize),
    /// A node cannot reach any other node.
    CutAll(usize),
    /// A node cannot reach the platform.
    CutPlatform(usize),
    /// The platform is temporarily down.
    PlatformDown,
    /// The platform's answers to writes are temporarily lost.
    LoseAnswers,
    /// The next messages are lost.
    LoseMessages,
    /// The next messages are delayed and reordered.
    DelayMessages,
    /// The next messages are delivered twice.
    DuplicateMessages,
    /// Guards temporarily shed calls.
    Overload,
    /// Entries send once calls to random instances.
    Misroute,
    /// Two operators change the configuration at the same time.
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
        Self::DelayMessages,
        Self::DuplicateMessages,
        Self::Overload,
        Self::Misroute,
        Self::TwoOperators,
    ];

    /// Generates a random schedule of one to six faults.
    pub(crate) fn schedule(seed: u64) -> Vec<(usize, Self)> {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let count = rng.random_range(1..=6);
        let mut faults: Vec<_> = (0..count)
            .map(|_| {
                let fault = Self::ALL[rng.random_range(0..Self::ALL.len())];
                (rng.random_range(0..MAX_STEP), fault)
            })
            .collect();
        faults.sort_by_key(|(step, _)| *step);
        faults
    }
}
