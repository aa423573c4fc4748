//! Reasons for refusing a once call.

use std::fmt;

use crate::model::Verdict;

/// Why a once call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnceRefusal {
    /// No instance owns keys of this mint time yet.
    NotOwned,
    /// The owner of the key is gone.
    OwnerLost,
    /// The owner of the key cannot be reached.
    OwnerUnreachable,
    /// Another instance owns the key.
    WrongOwner,
    /// The key is older than the retention of keys.
    Forgotten,
    /// The key was already used with another body.
    BodyDiffers,
    /// The call was started, but its outcome was lost.
    OutcomeLost,
    /// The queried instance has not seen the key.
    Unseen,
    /// The key could not be claimed because the platform does not respond.
    NoPlatform,
    /// The ledger has no room for another running call.
    LedgerFull,
    /// The call ran, but its answer was too large to store.
    AnswerNotKept,
}

impl OnceRefusal {
    /// Returns whether the refused attempt ran.
    ///
    /// An earlier attempt with the same key may have run elsewhere; the entry
    /// accounts for that.
    pub const fn verdict(self) -> Verdict {
        match self {
            Self::NotOwned | Self::WrongOwner | Self::NoPlatform | Self::LedgerFull => {
                Verdict::NotRun
            }
            Self::OwnerLost
            | Self::OwnerUnreachable
            | Self::Forgotten
            | Self::BodyDiffers
            | Self::OutcomeLost
            | Self::Unseen => Verdict::MayHaveRun,
            Self::AnswerNotKept => Verdict::Ran,
        }
    }

    /// Returns the text used in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwned => "key-not-owned-yet",
            Self::OwnerLost => "key-owner-lost",
            Self::OwnerUnreachable => "key-owner-unreachable",
            Self::WrongOwner => "key-owned-elsewhere",
            Self::Forgotten => "key-too-old",
            Self::BodyDiffers => "key-reused-with-other-body",
            Self::OutcomeLost => "outcome-lost",
            Self::Unseen => "key-not-seen",
            Self::NoPlatform => "key-not-claimed",
            Self::LedgerFull => "ledger-full",
            Self::AnswerNotKept => "answer-not-kept",
        }
    }

    /// Returns advice for the caller.
    pub const fn advice(self) -> &'static str {
        match self {
            Self::NotOwned => "repeat later, or use the key in Bramleymount-Ticket",
            Self::OwnerLost => "check the outcome by other means before using a new key",
            Self::OwnerUnreachable => "repeat with the same key later",
            Self::WrongOwner => "repeat with the same key",
            Self::Forgotten => "keys are remembered for a day; check the outcome by other means",
            Self::BodyDiffers => "use a new key for a new request",
            Self::OutcomeLost => "check the outcome by other means before using a new key",
            Self::Unseen => "repeat with the same key",
            Self::NoPlatform => {
                "repeat later, or use a version 7 UUID or the key in Bramleymount-Ticket"
            }
            Self::LedgerFull => "repeat later with the same key",
            Self::AnswerNotKept => "the call ran; read its result from the service",
        }
    }
}

impl fmt::Display for OnceRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
