//! Credit queries for the requests of workspaces.

use std::net::SocketAddr;
use std::time::Duration;

use super::generated as wire;
use super::pool::Pool;
use crate::model::{Instance, WorkspaceName};
use crate::policy::rate::{CreditGrant, CreditQuery};
use crate::tables::Shared;

/// The path of credit queries.
pub(super) const CREDIT_PATH: &str = "/credit";
/// Timeout of a credit query. A request waits for it if its workspace has no
/// local credit. Between regions the network latency alone is 70 ms.
const CREDIT_TIMEOUT: Duration = Duration::from_millis(200);

/// The answer of a daemon to a credit query.
enum CreditAnswer {
    Granted(CreditGrant),
    /// Another daemon coordinates the workspace.
    Elsewhere(Instance),
}

/// Queries the coordinator of a workspace for credit. Returns `None` if it does
/// not answer in time or does not know the workspace.
pub async fn request_credit(
    shared: &Shared,
    pool: &Pool,
    workspace: &WorkspaceName,
    credit_query: CreditQuery,
) -> Option<CreditGrant> {
    let answered = tokio::time::timeout(
        CREDIT_TIMEOUT,
        query_coordinator(shared, pool, workspace, credit_query),
    )
    .await;
    answered.ok().flatten()
}

async fn query_coordinator(
    shared: &Shared,
    pool: &Pool,
    workspace: &WorkspaceName,
    credit_query: CreditQuery,
) -> Option<CreditGrant> {
    let coordinator = shared.ring().coordinator(workspace)?;
    match query(shared, pool, coordinator, workspace, credit_query, false).await? {
        CreditAnswer::Granted(grant) => Some(grant),
        CreditAnswer::Elsewhere(other) => {
            match query(shared, pool, other, workspace, credit_query, true).await? {
                CreditAnswer::Granted(grant) => Some(grant),
                CreditAnswer::Elsewhere(_) => None,
            }
        }
    }
}

async fn query(
    shared: &Shared,
    pool: &Pool,
    coordinator: Instance,
    workspace: &WorkspaceName,
    credit_query: CreditQuery,
    redirected: bool,
) -> Option<CreditAnswer> {
    let own = shared.instance.address;
    if coordinator.address == own {
        return shared
            .grant_credit(workspace, own, credit_query)
            .map(CreditAnswer::Granted);
    }
    let request = wire::CreditRequest {
        workspace: workspace.to_string(),
        from: own.to_string(),
        held: credit_query.balance,
        want: credit_query.amount,
        demand: credit_query.demand,
        redirected,
        alone: credit_query.local_admits,
        share: credit_query.share,
    };
    let client = pool.plain(coordinator.address);
    let reply: wire::CreditReply = match client.query(CREDIT_PATH, &request).await {
        Ok(reply) => reply,
        Err(e) => {
            let cause = e.to_string();
            spdlog::debug!("credit query failed", kv: { workspace = workspace.as_str(), cause = cause.as_str() });
            return None;
        }
    };
    if let Ok(other) = reply.elsewhere.parse() {
        return Some(CreditAnswer::Elsewhere(other));
    }
    reply.known.then(|| {
        CreditAnswer::Granted(CreditGrant {
            credit: valid_amount(reply.credit),
            share: valid_amount(reply.share),
            wait: Duration::from_millis(u64::from(reply.wait_ms)),
        })
    })
}

/// Answers a credit query. If another daemon is the coordinator in the ring of
/// this one, the answer names it, unless the query was already redirected.
pub(super) fn answer(shared: &Shared, request: &wire::CreditRequest) -> wire::CreditReply {
    let unknown = wire::CreditReply::default();
    let Ok(workspace) = request.workspace.parse::<WorkspaceName>() else {
        return unknown;
    };
    let Ok(from) = request.from.parse::<SocketAddr>() else {
        return unknown;
    };
    let coordinator = shared.ring().coordinator(&workspace);
    let other = coordinator.filter(|found| found.address != shared.instance.address);
    if let (Some(other), false) = (other, request.redirected) {
        return wire::CreditReply {
            elsewhere: other.to_string(),
            ..unknown
        };
    }
    let credit_query = CreditQuery {
        balance: valid_amount(request.held),
        amount: valid_amount(request.want),
        demand: valid_amount(request.demand),
        local_admits: valid_amount(request.alone),
        share: valid_amount(request.share),
    };
    match shared.grant_credit(&workspace, from, credit_query) {
        None => unknown,
        Some(grant) => wire::CreditReply {
            credit: grant.credit,
            share: grant.share,
            wait_ms: u32::try_from(grant.wait.as_millis()).unwrap_or(u32::MAX),
            known: true,
            ..unknown
        },
    }
}

/// Returns an amount, or 0 if it is not finite or is negative.
fn valid_amount(number: f64) -> f64 {
    if number.is_finite() {
        number.max(0.0)
    } else {
        0.0
    }
}
