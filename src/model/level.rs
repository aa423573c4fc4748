//! Admission levels that guards advertise.

use std::fmt;

use super::ClassRank;

/// The importance of a call, or a threshold on it: a guard refuses calls whose
/// level is below its own.
///
/// It consists of the class and ten bits of the root's hash. A greater level is
/// more important.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(u16);

impl Level {
    /// Number of levels within one class.
    pub const STEPS: usize = 1024;
    /// Number of distinct levels.
    pub const COUNT: usize = Self::STEPS * ClassRank::COUNT;
    /// The level at which nothing is refused.
    pub const ADMIT_ALL: Self = Self(0);
    /// The level at which nearly everything is refused.
    pub const HIGHEST: Self = Self(Self::COUNT as u16 - 1);

    /// Computes the level of a class and a 16-bit hash of the root.
    pub fn new(rank: ClassRank, hash: u16) -> Self {
        let class = ClassRank::COUNT as u16 - 1 - u16::from(rank.get());
        Self(class * Self::STEPS as u16 + (hash >> 6))
    }

    /// Creates a level from its number, capped at [`Level::HIGHEST`].
    pub fn from_raw(raw: u32) -> Self {
        let highest = Self::COUNT as u32 - 1;
        Self(raw.min(highest) as u16)
    }

    /// Returns the level as a number.
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Returns the level as an index below [`Level::COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the first level of the next more important class.
    pub fn next_class_start(self) -> usize {
        (self.index() / Self::STEPS + 1) * Self::STEPS
    }

    /// Returns the class that this level falls into.
    pub fn rank(self) -> ClassRank {
        ClassRank::new(ClassRank::COUNT - 1 - self.index() / Self::STEPS)
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
