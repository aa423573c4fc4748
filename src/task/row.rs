//! The daemon's own row in the table service, by which others find it.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::policy::member::{Budget, Member, MemberState};
use crate::store::{Condition, Settled, settle};
use crate::tables::Shared;

/// How often the row is compared with what the daemon says.
const LOOK: Duration = Duration::from_secs(1);
/// Writes a second and at once that one daemon may make for its row.
const RATE: f64 = 0.1;
const BURST: f64 = 2.0;
/// Time over which daemons that start together spread their first requests.
const SPREAD: Duration = Duration::from_secs(2);

fn row_key(shared: &Shared) -> String {
    format!("member/{}", shared.instance.address)
}

/// Keeps the row equal to what the daemon says of itself, for ever.
pub async fn keep_row(shared: Arc<Shared>) {
    let mut budget = Budget::new(Instant::now(), RATE, BURST);
    let mut written: Option<MemberState> = None;
    let first = SPREAD.mul_f64(rand::rng().random());
    tokio::time::sleep(first).await;
    loop {
        let own = shared.view.lock().own().clone();
        if written != Some(own.state) && budget.take(Instant::now()) {
            if write_row(&shared, &own).await {
                written = Some(own.state);
                budget.answered();
            } else {
                budget.failed(Instant::now(), &mut rand::rng());
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Writes the row over whatever stands there; returns whether it stands.
pub(super) async fn write_row(shared: &Shared, own: &Member) -> bool {
    let key = row_key(shared);
    let content = serde_json::to_vec(own).unwrap_or_default();
    let condition = match shared.platform.read(&key).await {
        Ok(Some(row)) if *row.content == *content => return true,
        Ok(Some(row)) => Condition::Revision(row.revision),
        Ok(None) => Condition::Absent,
        Err(_) => return false,
    };
    let table = shared.platform.as_ref();
    matches!(
        settle(table, &key, condition, content.into()).await,
        Settled::Written(_)
    )
}

/// Learns of other daemons from their rows, until any is known.
pub async fn find_members(shared: Arc<Shared>) {
    let mut budget = Budget::new(Instant::now(), RATE, BURST);
    loop {
        let alone = shared.view.lock().members().count() <= 1;
        if !alone {
            return;
        }
        if budget.take(Instant::now()) {
            match shared.platform.scan("member/").await {
                Ok(rows) => {
                    budget.answered();
                    take_rows(&shared, &rows);
                }
                Err(_) => budget.failed(Instant::now(), &mut rand::rng()),
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn take_rows(shared: &Shared, rows: &[crate::store::Row]) {
    let now = Instant::now();
    let mut changed = false;
    {
        let mut view = shared.view.lock();
        for row in rows {
            if let Ok(member) = serde_json::from_slice::<Member>(&row.content) {
                changed |= view.merge(now, member);
            }
        }
    }
    if changed {
        shared.refresh_routes();
        shared.wake();
    }
}
