//! Requests by the rate of their workspace.

use std::sync::Arc;

use super::accept::{Accepted, CallerWorkspace};
use super::context::Context;
use crate::call::{Attempt, Reason, Refusal};
use crate::declare::Limit;
use crate::policy::rate::{CreditDecision, CreditQuery};
use crate::tables::{Credit, spread};
use crate::task::ask_for_credit;

/// The credit that a request has taken; given back unless it may have run.
pub(super) struct Paid(Arc<Credit>);

impl Paid {
    /// Gives the credit back, since no backend server got the request.
    pub(super) fn give_back(self) {
        self.0.give_back();
    }
}

impl Context {
    /// Takes credit for a request of a limited workspace. One that finds none
    /// here waits for the coordinator's answer, which is bounded.
    ///
    /// # Errors
    ///
    /// Refuses what is over the rate, with when there is credit again.
    pub(super) async fn pay(&self, accepted: &Accepted) -> Result<Option<Paid>, Refusal> {
        let Some(workspace) = &accepted.workspace else {
            return Ok(None);
        };
        let Some(limit) = workspace.limit else {
            return Ok(None);
        };
        let credit = self.shared.rates.credit(&workspace.name);
        credit.arrived();
        loop {
            // Made before looking, so that no answer in between is missed.
            let mut told = std::pin::pin!(credit.told.notified());
            told.as_mut().enable();
            let members = self.shared.ring().len();
            let taken = self.shared.rates.take(&credit, limit, members);
            let waits = taken == CreditDecision::AskCoordinator;
            if let Some(asked) = self.shared.rates.begin_asking(&credit, waits) {
                self.ask(workspace, &credit, asked);
            }
            match taken {
                CreditDecision::Admit => return Ok(Some(Paid(Arc::clone(&credit)))),
                CreditDecision::Refuse(wait) => return Err(over(limit, wait)),
                CreditDecision::AskCoordinator if credit.is_asking() => told.await,
                // It has been answered just now.
                CreditDecision::AskCoordinator => tokio::task::yield_now().await,
            }
        }
    }

    /// Asks the coordinator, also if the request that needs it is given up.
    fn ask(&self, workspace: &CallerWorkspace, credit: &Arc<Credit>, asked: CreditQuery) {
        let (shared, pool) = (Arc::clone(&self.shared), Arc::clone(&self.pool));
        let (name, credit) = (workspace.name.clone(), Arc::clone(credit));
        tokio::spawn(ask_for_credit(shared, pool, name, credit, asked));
    }
}

fn over(limit: Limit, wait: std::time::Duration) -> Refusal {
    let detail = format!("{} and {} at once are used up", limit.rate, limit.burst);
    let mut refusal = Attempt::plan().refuse(Reason::OverRate, detail);
    refusal.retry_after = Some(spread(wait));
    refusal
}
