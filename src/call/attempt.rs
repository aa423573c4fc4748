//! The state of an attempt, which decides what verdicts its refusal may carry.

use super::{Reason, Refusal};
use crate::model::{AttemptId, Verdict};
use crate::policy::once::OnceRefusal;

/// Nothing has been sent.
#[derive(Debug)]
pub struct Planned;

/// The call has been handed on for sending; its first byte may have left.
#[derive(Debug)]
pub struct Sent;

/// One attempt at a call.
///
/// A [`Planned`] attempt can be refused as `not-run`. A [`Sent`] one can only be
/// abandoned as `may-have-run`, or relay the refusal of the side that it was
/// sent to.
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
    /// Creates an attempt with a new id.
    pub fn plan() -> Self {
        Self::with_id(AttemptId::random())
    }

    /// Continues an attempt that another daemon planned.
    pub fn with_id(id: AttemptId) -> Self {
        Self { id, state: Planned }
    }

    /// Marks the call as sent; to be called before the first byte leaves.
    pub fn mark_sent(self) -> Attempt<Sent> {
        let Self { id, state: Planned } = self;
        Attempt { id, state: Sent }
    }

    /// Refuses the call, of which nothing was sent.
    pub fn refuse(self, reason: Reason, detail: impl Into<Box<str>>) -> Refusal {
        Refusal::new(Verdict::NotRun, reason, detail)
    }

    /// Refuses a once call with the verdict and advice of `refusal`.
    pub fn refuse_once(self, refusal: OnceRefusal) -> Refusal {
        Refusal::new(refusal.verdict(), Reason::Once(refusal), refusal.advice())
    }
}

impl Attempt<Sent> {
    /// Gives up on the call, which may have run.
    pub fn abandon(self, reason: Reason, detail: impl Into<Box<str>>) -> Refusal {
        let Self { state: Sent, .. } = self;
        Refusal::new(Verdict::MayHaveRun, reason, detail)
    }

    /// Relays the refusal of the other side if it is for this attempt.
    pub fn relay_refusal(
        self,
        id: AttemptId,
        verdict: Verdict,
        reason: Reason,
        detail: &str,
    ) -> Refusal {
        if id != self.id {
            return self.abandon(Reason::InvalidAnswer, "the answer was to another attempt");
        }
        Refusal::new(verdict, reason, detail)
    }

    /// Returns the attempt to its unsent state.
    ///
    /// Only for when it is certain that the call didn't run: no connection was
    /// made, the guard dropped it unread, or the backend server itself said that it has
    /// not run the call.
    pub fn revert_sent(self) -> Attempt<Planned> {
        Attempt::with_id(self.id)
    }
}
