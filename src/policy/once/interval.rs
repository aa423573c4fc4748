//! Mint times that belong to one instance.

use serde::{Deserialize, Serialize};

use crate::model::{Instance, MintTime};

/// The mint times from `from` up to but not including `until`, in
/// milliseconds, whose keys only `owner` may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The only instance that may start keys of this interval.
    pub owner: Instance,
    /// First mint time that belongs to it.
    #[serde(with = "millis")]
    pub from: MintTime,
    /// First mint time that no longer belongs to it.
    #[serde(with = "millis")]
    pub until: MintTime,
}

impl Interval {
    /// Tells whether a key minted at `mint` belongs to this interval.
    pub fn contains(&self, mint: MintTime) -> bool {
        self.from <= mint && mint < self.until
    }
}

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
