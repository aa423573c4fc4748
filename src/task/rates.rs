//! Queries for credit and reports of demand to the coordinators of workspaces.

use std::sync::Arc;
use std::time::Duration;

use crate::model::WorkspaceName;
use crate::peer::{Pool, request_credit};
use crate::policy::rate::CreditQuery;
use crate::tables::{Shared, WorkspaceCredit};

/// How often due reports are looked for. A coordinator counts a daemon as cut off
/// when a report is a tenth of a second late.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Queries the coordinator of a workspace for credit, or reports demand to it, and
/// applies its grant.
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

/// Reports demand to the coordinators of all workspaces with requests here,
/// forever. Without such workspaces the task sleeps.
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
