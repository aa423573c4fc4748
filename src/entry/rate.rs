//! Requests by the rate of their workspace.

use std::sync::Arc;

use super::accept::{AcceptedRequest, CallerWorkspace};
use super::context::Context;
use crate::call::{Attempt, Reason, Refusal};
use crate::declare::Limit;
use crate::policy::rate::{CreditDecision, CreditQuery};
use crate::tables::{WorkspaceCredit, add_jitter};
use crate::task::query_credit;

/// The credit that a request has taken; given back unless it may have run.
pub(super) struct CreditCharge(Arc<WorkspaceCredit>);

impl CreditCharge {
    /// Gives the credit back, since no backend server got the request.
    pub(super) fn refund(self) {
        self.0.refund();
    }
}

impl Context {
    /// Takes credit for a request of a limited workspace. One that finds none
    /// here waits for the coordinator's answer, which is bounded.
    ///
    /// # Errors
    ///
    /// Refuses what is over the rate, with when there is credit again.
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
            // Made before looking, so that no answer in between is missed.
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
                // It has been answered just now.
                CreditDecision::AskCoordinator => tokio::task::yield_now().await,
            }
        }
    }

    /// Asks the coordinator, also if the request that needs it is given up.
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

fn over_rate(limit: Limit, wait: std::time::Duration) -> Refusal {
    let detail = format!("{} and {} at once are used up", limit.rate, limit.burst);
    let mut refusal = Attempt::plan().refuse(Reason::OverRate, detail);
    refusal.retry_after = Some(add_jitter(wait));
    refusal
}
