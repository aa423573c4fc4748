//! The life cycle of one attempt, which decides what may be said of it.

use super::{Reason, Refusal};
use crate::model::{AttemptId, Verdict};
use crate::policy::once::OnceRefusal;

/// Nothing has been passed on.
#[derive(Debug)]
pub struct Planned;

/// The call has been passed on; its first byte may have left.
#[derive(Debug)]
pub struct Sent;

/// One attempt at a call.
///
/// While it is [`Planned`] it can be refused as `not-run`. Once it is [`Sent`]
/// it can only be lost as `may-have-run`, or repeat what the side that it was
/// sent to has said.
#[derive(Debug)]
pub struct Attempt<S> {
    id: AttemptId,
    state: S,
}

impl<S> Attempt<S> {
    /// Returns the id that the answer must carry.
    pub fn id(&self) -> AttemptId {
        self.id
    }
}

impl Attempt<Planned> {
    /// Plans an attempt.
    pub fn plan() -> Self {
        Self::with_id(AttemptId::random())
    }

    /// Takes over an attempt that another daemon planned.
    pub fn with_id(id: AttemptId) -> Self {
        Self { id, state: Planned }
    }

    /// Marks the call as passed on; to be done before the first byte leaves.
    pub fn mark_sent(self) -> Attempt<Sent> {
        let Self { id, state: Planned } = self;
        Attempt { id, state: Sent }
    }

    /// Refuses the call; nothing was passed on.
    pub fn refuse(self, reason: Reason, detail: impl Into<Box<str>>) -> Refusal {
        Refusal::new(Verdict::NotRun, reason, detail)
    }

    /// Refuses a once call, with what that says of its key as a whole.
    pub fn refuse_once(self, refuse: OnceRefusal) -> Refusal {
        Refusal::new(refuse.verdict(), Reason::Once(refuse), refuse.advice())
    }
}

impl Attempt<Sent> {
    /// Gives the call up without word from the other side.
    pub fn abandon(self, reason: Reason, detail: impl Into<Box<str>>) -> Refusal {
        let Self { state: Sent, .. } = self;
        Refusal::new(Verdict::MayHaveRun, reason, detail)
    }

    /// Repeats what the other side said, if it speaks of this attempt.
    pub fn relay_refusal(
        self,
        of: AttemptId,
        verdict: Verdict,
        reason: Reason,
        detail: &str,
    ) -> Refusal {
        if of != self.id {
            return self.abandon(Reason::InvalidAnswer, "the answer was to another attempt");
        }
        Refusal::new(verdict, reason, detail)
    }

    /// Takes back the sending, since no connection was ever made, or since the
    /// backend server itself said that it has not run the call.
    ///
    /// Only where that is certain.
    pub fn revert_sent(self) -> Attempt<Planned> {
        Attempt::with_id(self.id)
    }
}
