//! The operator's document, followed by the store's feed.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::document::read_document;
use crate::declare::{Manifest, split};
use crate::error::Error;
use crate::guard::Guard;
use crate::model::Version;
use crate::peer::apply_configuration;
use crate::policy::member::{VersionDecision, read_probability};
use crate::store::{Feed, Row};
use crate::tables::Shared;
use crate::task::{FollowedRow, follow_row};

/// The row that holds the operator's document.
const ROW: &str = "op/config";
/// Its table, whose changes are followed.
const TABLE: &str = "op";

/// Who is named as the author of versions that come from the row.
const AUTHOR: &str = "operator";

/// How long one question for changes may stay open. Each daemon asks once in
/// this time, so that 5,300 of them make 530 calls a second.
const WAIT: Duration = Duration::from_secs(10);

/// Puts each version of the operator's document in force, for ever.
pub async fn watch_configuration(shared: Arc<Shared>, guard: Arc<Guard>, feed: Arc<dyn Feed>) {
    let followed = FollowedRow {
        key: ROW,
        table: TABLE,
        wait: WAIT,
    };
    let asks = || shared.store_role.borrow().uses_store() || reads_first(&shared);
    follow_row(&*feed, &followed, asks, |row| {
        if let Err(e) = take(&shared, &guard, row) {
            spdlog::error!("configuration not understood", kv: {
                cause = e.to_string().as_str(), revision = row.revision.0
            });
        }
    })
    .await;
}

/// Tells whether a daemon that has no configuration yet reads it now, though
/// others of its data centre use the store.
fn reads_first(shared: &Shared) -> bool {
    if shared.current.version() > Version::NONE {
        return false;
    }
    let view = shared.view.lock();
    let known = view.members().len() > 1;
    known && rand::rng().random_bool(read_probability(&view))
}

fn take(shared: &Shared, guard: &Guard, row: &Row) -> Result<(), Error> {
    let operated = read_document(&row.content)?;
    if shared.current.decide(operated.version) != VersionDecision::Apply {
        return Ok(());
    }
    let documents = split(&operated.estate);
    let manifest = Manifest {
        version: operated.version,
        change: Box::default(),
        author: AUTHOR.into(),
        unix_ms: 0,
        previous: None,
        documents: Manifest::index(&documents),
    };
    apply_configuration(shared, manifest, documents)?;
    guard.reload();
    Ok(())
}
