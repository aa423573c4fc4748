//! Extension of the ownership row of this daemon's service.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::declare::OnceSettings;
use crate::model::{Instance, ServiceName};
use crate::policy::member::Budget;
use crate::policy::once::{Horizon, OwnershipRow, plan_ownership};
use crate::store::{Condition, WriteOutcome, write_with_retry};
use crate::tables::{Shared, StoredOwnership, mint_now};

/// How often the row is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Requests for the row by one daemon, per second and per burst.
const REQUESTS_PER_S: f64 = 1.0;
const REQUEST_BURST: f64 = 4.0;
/// Checks that an instance waits for each instance that ranks before it.
const CHECKS_PER_RANK: usize = 4;

/// Keeps the ownership row of this daemon's service extended, forever.
///
/// Any instance of the service may extend it. Each waits a little longer than the
/// one that ranks before it, so that usually only the first one does.
pub async fn keep_ownership(shared: Arc<Shared>) {
    let mut budget = Budget::new(Instant::now(), REQUESTS_PER_S, REQUEST_BURST);
    let mut checks_due = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(once) = once_rules(&shared) else {
            continue;
        };
        let live = serving_instances(&shared);
        let Some(rank) = live.iter().position(|i| *i == shared.instance) else {
            continue;
        };
        let known = shared.ownership.get(&shared.config.service);
        if next_row(known.as_ref(), &live, once).is_none() {
            checks_due = 0;
            continue;
        }
        checks_due += 1;
        if checks_due <= rank * CHECKS_PER_RANK || !budget.try_take(Instant::now()) {
            continue;
        }
        match extend(&shared, &live, once).await {
            Some(()) => budget.record_answer(),
            None => budget.record_failure(Instant::now(), &mut rand::rng()),
        }
    }
}

fn once_rules(shared: &Shared) -> Option<OnceSettings> {
    let in_force = shared.current.get()?;
    let estate = &in_force.estate;
    let service = estate.services.get(&shared.config.service)?;
    estate.has_once(service).then_some(estate.once)
}

fn serving_instances(shared: &Shared) -> Vec<Instance> {
    let view = shared.view.lock();
    view.serving(&shared.config.service)
        .map(|member| member.instance)
        .collect()
}

fn next_row(
    known: Option<&StoredOwnership>,
    live: &[Instance],
    once: OnceSettings,
) -> Option<OwnershipRow> {
    let horizon = Horizon {
        ahead: once.horizon.get(),
        retention: once.retention.get(),
    };
    let empty = OwnershipRow::default();
    let row = known.map_or(&empty, |stored| &*stored.row);
    plan_ownership(row, mint_now(), live, horizon)
}

/// Returns the key of the ownership row of a service.
pub(super) fn row_key(service: &ServiceName) -> String {
    format!("home/{service}")
}

/// Writes the next state of the row; `None` if the platform doesn't answer.
async fn extend(shared: &Shared, live: &[Instance], once: OnceSettings) -> Option<()> {
    let service = &shared.config.service;
    let known = shared.ownership.get(service);
    let Some(row) = next_row(known.as_ref(), live, once) else {
        return Some(());
    };
    let condition = match &known {
        Some(stored) => Condition::Revision(stored.revision),
        None => Condition::Absent,
    };
    let content = row.encode().into();
    let table = shared.platform.as_ref();
    match write_with_retry(table, &row_key(service), condition, content).await {
        WriteOutcome::Written(revision) => {
            shared.ownership.update(service, revision, row);
            shared.notify_gossip();
            Some(())
        }
        WriteOutcome::Conflict(Some(found)) => {
            if let Ok(row) = OwnershipRow::decode(&found.content) {
                shared.ownership.update(service, found.revision, row);
            }
            Some(())
        }
        WriteOutcome::Conflict(None) => Some(()),
        WriteOutcome::NotSent(_) | WriteOutcome::Unknown(_) => None,
    }
}

/// Reads the ownership row of a service from the platform; returns whether the
/// platform answered.
pub async fn read_ownership(shared: &Shared, service: &ServiceName) -> bool {
    match shared.platform.read(&row_key(service)).await {
        Ok(Some(found)) => {
            if let Ok(row) = OwnershipRow::decode(&found.content) {
                shared.ownership.update(service, found.revision, row);
            }
            true
        }
        Ok(None) => true,
        Err(_) => false,
    }
}
