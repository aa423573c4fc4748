//! Intervals of mint times owned by one instance.

use serde::{Deserialize, Serialize};

use crate::model::{Instance, MintTime};

/// The mint times from `from` to before `until`, whose keys only `owner` may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The owner of the keys minted in this interval.
    pub owner: Instance,
    /// The first mint time of the interval.
    #[serde(with = "millis")]
    pub from: MintTime,
    /// The first mint time after the interval.
    #[serde(with = "millis")]
    pub until: MintTime,
}

impl Interval {
    /// Returns whether `mint` lies in this interval.
    pub fn contains(&self, mint: MintTime) -> bool {
        self.from <= mint && mint < self.until
    }
}

/// Serializes a mint time as milliseconds.
mod millis {
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::model::MintTime;

    pub(super) fn serialize<S: Serializer>(time: &MintTime, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_u64(time.as_millis())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<MintTime, D::Error> {
        u64::deserialize(d).map(MintTime::from_millis)
    }
}
