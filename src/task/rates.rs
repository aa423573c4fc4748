//! Telling coordinators how many requests of their workspaces arrive here.

use std::sync::Arc;
use std::time::Duration;

use crate::model::WorkspaceName;
use crate::peer::{Pool, request_credit};
use crate::policy::rate::CreditQuery;
use crate::tables::{Credit, Shared};

/// How often it is looked for what to tell. A coordinator that hears nothing
/// for half a second longer than it should takes the daemon for cut off.
const LOOK: Duration = Duration::from_millis(250);

/// Asks the coordinator of a workspace for credit, or tells it of the demand,
/// and takes its answer.
pub async fn ask_for_credit(
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    name: WorkspaceName,
    credit: Arc<Credit>,
    asked: CreditQuery,
) {
    match request_credit(&shared, &pool, &name, asked).await {
        Some(lent) => credit.lent(lent),
        None => {
            shared.metrics.count("credit_unanswered");
            shared.rates.unanswered(&credit, shared.ring().len());
        }
    }
    credit.asked();
}

/// Tells the coordinators of all workspaces whose requests arrive here, for
/// ever; a daemon without any sleeps.
pub async fn tell_demand(shared: Arc<Shared>, pool: Arc<Pool>) {
    loop {
        if !shared.rates.is_active() {
            shared.rates.begun.notified().await;
        }
        tokio::time::sleep(LOOK).await;
        for (name, credit, asked) in shared.rates.begin_telling() {
            let (shared, pool) = (Arc::clone(&shared), Arc::clone(&pool));
            tokio::spawn(ask_for_credit(shared, pool, name, credit, asked));
        }
    }
}
