//! Borrowing of credit for the requests of workspaces.

use std::net::SocketAddr;
use std::time::Duration;

use super::generated as wire;
use super::pool::Pool;
use crate::model::{Instance, WorkspaceName};
use crate::policy::rate::{CreditGrant, CreditQuery};
use crate::tables::Shared;

/// The path of questions for credit.
pub(super) const CREDIT_PATH: &str = "/credit";
/// How long the coordinator may take to answer. A request of a workspace that
/// has no credit here waits for it; between regions the way alone takes 70 ms.
const TIMEOUT: Duration = Duration::from_millis(200);

/// What a daemon says to a question for credit.
enum Answer {
    Lent(CreditGrant),
    /// Another daemon coordinates the workspace.
    Elsewhere(Instance),
}

/// Asks the coordinator of a workspace for credit; `None` if it does not
/// answer in time or does not know the workspace.
pub async fn borrow(
    shared: &Shared,
    pool: &Pool,
    workspace: &WorkspaceName,
    asked: CreditQuery,
) -> Option<CreditGrant> {
    let answered = tokio::time::timeout(TIMEOUT, find(shared, pool, workspace, asked)).await;
    answered.ok().flatten()
}

async fn find(
    shared: &Shared,
    pool: &Pool,
    workspace: &WorkspaceName,
    asked: CreditQuery,
) -> Option<CreditGrant> {
    let first = shared.ring().coordinator(workspace)?;
    match ask(shared, pool, first, workspace, asked, false).await? {
        Answer::Lent(lent) => Some(lent),
        Answer::Elsewhere(other) => match ask(shared, pool, other, workspace, asked, true).await? {
            Answer::Lent(lent) => Some(lent),
            Answer::Elsewhere(_) => None,
        },
    }
}

async fn ask(
    shared: &Shared,
    pool: &Pool,
    coordinator: Instance,
    workspace: &WorkspaceName,
    asked: CreditQuery,
    redirected: bool,
) -> Option<Answer> {
    let own = shared.instance.address;
    if coordinator.address == own {
        return shared.grant_credit(workspace, own, asked).map(Answer::Lent);
    }
    let request = wire::CreditRequest {
        workspace: workspace.to_string(),
        from: own.to_string(),
        held: asked.balance,
        want: asked.amount,
        demand: asked.demand,
        redirected,
        alone: asked.local_admits,
    };
    let client = pool.plain(coordinator.address);
    let reply: wire::CreditReply = match client.ask(CREDIT_PATH, &request).await {
        Ok(reply) => reply,
        Err(e) => {
            let cause = e.to_string();
            spdlog::debug!("no credit", kv: { workspace = workspace.as_str(), cause = cause.as_str() });
            return None;
        }
    };
    if let Ok(other) = reply.elsewhere.parse() {
        return Some(Answer::Elsewhere(other));
    }
    reply.known.then(|| {
        Answer::Lent(CreditGrant {
            credit: amount(reply.credit),
            share: amount(reply.share),
            wait: Duration::from_millis(u64::from(reply.wait_ms)),
        })
    })
}

/// Answers a question for credit. A daemon that is not the coordinator by what
/// it knows says who is, unless another daemon has sent the question here.
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
    let asked = CreditQuery {
        balance: amount(request.held),
        amount: amount(request.want),
        demand: amount(request.demand),
        local_admits: amount(request.alone),
    };
    match shared.grant_credit(&workspace, from, asked) {
        None => unknown,
        Some(lent) => wire::CreditReply {
            credit: lent.credit,
            share: lent.share,
            wait_ms: u32::try_from(lent.wait.as_millis()).unwrap_or(u32::MAX),
            known: true,
            ..unknown
        },
    }
}

/// Reads an amount; what is no number or below zero counts as nothing.
fn amount(number: f64) -> f64 {
    if number.is_finite() {
        number.max(0.0)
    } else {
        0.0
    }
}
