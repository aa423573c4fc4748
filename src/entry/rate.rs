//! Rate limits of workspaces.

use std::sync::Arc;

use super::accept::{AcceptedRequest, CallerWorkspace};
use super::context::Context;
use crate::call::{Attempt, Reason, Refusal};
use crate::declare::RateLimit;
use crate::policy::rate::{CreditDecision, CreditQuery};
use crate::tables::{WorkspaceCredit, add_jitter};
use crate::task::query_credit;

/// Credit taken for a request; refunded unless the request may have run.
pub(super) struct CreditCharge(Arc<WorkspaceCredit>);

impl CreditCharge {
    /// Refunds the credit, since no backend server received the request.
    pub(super) fn refund(self) {
        self.0.refund();
    }
}

impl Context {
    /// Takes credit for a request of a limited workspace. Without local credit,
    /// the request waits for the coordinator's answer for a bounded time.
    ///
    /// # Errors
    ///
    /// Refuses a request over the rate, with the time until there is credit again.
    pub(super) async fn charge_credit(
        &self,
        accepted: &AcceptedRequest,
    ) -> Result<Option<CreditCharge>, Refusal> {
        let Some(workspace) = &accepted.workspace else {
            return Ok(None);
        };
        let Some(limit) = workspace.limit else {
            return Ok(None);
        };
        let credit = self.shared.rates.credit(&workspace.name);
        credit.record_arrival();
        loop {
            // Registered before the credit is checked, so that no answer is missed.
            let mut notified = std::pin::pin!(credit.grant_notify.notified());
            notified.as_mut().enable();
            let members = self.shared.ring().len();
            let decision = self.shared.rates.try_take(&credit, limit, members);
            let waits = decision == CreditDecision::AskCoordinator;
            if let Some(query) = self.shared.rates.begin_query(&credit, waits) {
                self.query_coordinator(workspace, &credit, query);
            }
            match decision {
                CreditDecision::Admit => return Ok(Some(CreditCharge(Arc::clone(&credit)))),
                CreditDecision::Refuse(wait) => return Err(over_rate(limit, wait)),
                CreditDecision::AskCoordinator if credit.is_querying() => notified.await,
                // The answer has arrived since the credit was checked.
                CreditDecision::AskCoordinator => tokio::task::yield_now().await,
            }
        }
    }

    /// Asks the coordinator for credit, even if the request is given up meanwhile.
    fn query_coordinator(
        &self,
        workspace: &CallerWorkspace,
        credit: &Arc<WorkspaceCredit>,
        query: CreditQuery,
    ) {
        let (shared, pool) = (Arc::clone(&self.shared), Arc::clone(&self.pool));
        let (name, credit) = (workspace.name.clone(), Arc::clone(credit));
        tokio::spawn(query_credit(shared, pool, name, credit, query));
    }
}

fn over_rate(limit: RateLimit, wait: std::time::Duration) -> Refusal {
    let detail = format!(
        "rate limit of {} with a burst of {} is exceeded",
        limit.rate, limit.burst
    );
    let mut refusal = Attempt::plan().refuse(Reason::OverRate, detail);
    refusal.retry_after = Some(add_jitter(wait));
    refusal
}
