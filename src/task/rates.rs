//! Telling coordinators how many requests of their workspaces arrive here.

use std::sync::Arc;
use std::time::Duration;

use crate::model::WorkspaceName;
use crate::peer::{Pool, request_credit};
use crate::policy::rate::CreditQuery;
use crate::tables::{Shared, WorkspaceCredit};

/// How often it is looked for what to tell. A coordinator that hears nothing
/// for half a second longer than it should takes the daemon for cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Asks the coordinator of a workspace for credit, or tells it of the demand,
/// and takes its answer.
pub async fn query_credit(
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    name: WorkspaceName,
    credit: Arc<WorkspaceCredit>,
    query: CreditQuery,
) {
    match request_credit(&shared, &pool, &name, query).await {
        Some(grant) => credit.apply_grant(grant),
        None => {
            shared.metrics.count("credit_unanswered");
            shared.rates.record_no_answer(&credit, shared.ring().len());
        }
    }
    credit.end_query();
}

/// Tells the coordinators of all workspaces whose requests arrive here, for
/// ever; a daemon without any sleeps.
pub async fn report_demand(shared: Arc<Shared>, pool: Arc<Pool>) {
    loop {
        if !shared.rates.is_active() {
            shared.rates.demand_notify.notified().await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        for (name, credit, query) in shared.rates.begin_reports() {
            let (shared, pool) = (Arc::clone(&shared), Arc::clone(&pool));
            tokio::spawn(query_credit(shared, pool, name, credit, query));
        }
    }
}
