//! Calls that must run at most once: finding the owner of their key, and asking
//! for the outcome of a lost call.

use tokio::time::Instant;

use super::forward::ForwardedCall;
use crate::call::{Attempt, Reason, Refusal, Reply};
use crate::model::{Instance, OnceKey, Verdict};
use crate::peer;
use crate::policy::once::{Destination, OnceRefusal, destination};
use crate::task::read_ownership;

impl ForwardedCall<'_> {
    /// Reads the ownership row again if the known row names no owner of the key.
    ///
    /// # Errors
    ///
    /// Refuses the call if the new row names no owner either: then no instance can
    /// have run it.
    pub(super) async fn refresh_ownership(&self) -> Result<(), Refusal> {
        let Some(once) = &self.head().once else {
            return Ok(());
        };
        let not_owned = Destination::Refused(OnceRefusal::NotOwned);
        if self.destination(&once.key) != not_owned || !self.context.may_read_ownership() {
            return Ok(());
        }
        let service = &self.head().service;
        if !Box::pin(read_ownership(&self.context.shared, service)).await
            || self.destination(&once.key) != not_owned
        {
            return Ok(());
        }
        Err(Attempt::plan()
            .refuse_once(OnceRefusal::NotOwned)
            .with_key_scope())
    }

    pub(super) fn destination(&self, key: &OnceKey) -> Destination {
        let shared = &self.context.shared;
        let service = &self.head().service;
        let view = shared.view.lock();
        let ownership = shared.ownership.get(service);
        destination(
            key,
            ownership.as_ref().map(|ownership| &*ownership.row),
            &view,
            service,
        )
    }

    /// Returns whether an attempt may be sent to the owner of the key, and counts
    /// it as sent. An owner that failed too often recently gets no attempts.
    pub(super) fn try_record_sent(&self, instance: Instance) -> bool {
        let now = Instant::now();
        self.table(|table| {
            let admits = table.admits(now, instance);
            if admits {
                table.record_sent(instance);
            }
            admits
        })
    }

    /// Asks the same instance for the outcome of a lost once call, and follows a
    /// claim to the owner that it names.
    pub(super) async fn resolve_once(
        &mut self,
        target: Instance,
        failed: Refusal,
    ) -> Result<Reply, Refusal> {
        let Some(once) = &self.head().once else {
            return Err(failed);
        };
        if failed.reason() == Reason::Once(OnceRefusal::WrongOwner) {
            return Box::pin(self.follow_claim(&once.key, failed)).await;
        }
        let lost = matches!(
            failed.reason(),
            Reason::IncompleteAnswer | Reason::Crashed | Reason::InvalidAnswer
        );
        if !lost || failed.verdict() != Verdict::MayHaveRun {
            return Err(failed);
        }
        let inquiry = Box::pin(self.inquire(target, &once.key)).await;
        match inquiry {
            Err(refusal) if refusal.reason() == Reason::Once(OnceRefusal::Unseen) => Err(failed),
            Err(refusal) => Err(refusal.with_earlier(Verdict::MayHaveRun)),
            other => other,
        }
    }

    async fn inquire(&self, target: Instance, key: &OnceKey) -> Result<Reply, Refusal> {
        let head = self.head();
        let pool = &self.context.pool;
        peer::inquire(pool, target, &head.service, key, head.deadline).await
    }

    /// Asks the owner that a claim names for the outcome.
    async fn follow_claim(&self, key: &OnceKey, failed: Refusal) -> Result<Reply, Refusal> {
        let Ok(owner) = failed.detail.parse::<Instance>() else {
            return Err(failed);
        };
        match self.inquire(owner, key).await {
            Ok(reply) => Ok(reply),
            Err(refusal) => Err(refusal.with_earlier(Verdict::MayHaveRun)),
        }
    }
}
