//! Follows the operator's document through the store's feed.

use std::sync::Arc;

use rand::Rng;

use super::document::read_document;
use crate::declare::{Manifest, split};
use crate::error::Error;
use crate::guard::Guard;
use crate::model::Version;
use crate::peer::apply_configuration;
use crate::policy::member::{VersionDecision, delegate_position, feed_wait, read_probability};
use crate::store::{Feed, Row};
use crate::tables::Shared;
use crate::task::{FollowedRow, follow_row};

/// The row that holds the operator's document.
const CONFIGURATION_ROW: &str = "op/config";
/// The table whose changes are followed.
const CONFIGURATION_TABLE: &str = "op";

/// The author recorded for versions that come from the row.
const ROW_AUTHOR: &str = "operator";

/// Applies each version of the operator's document; never returns.
pub async fn watch_configuration(shared: Arc<Shared>, guard: Arc<Guard>, feed: Arc<dyn Feed>) {
    let followed = FollowedRow {
        key: CONFIGURATION_ROW,
        table: CONFIGURATION_TABLE,
    };
    let may_query = || shared.store_role.borrow().uses_store() || may_read_first(&shared);
    let wait = |is_first| feed_wait(delegate_position(&shared.view.lock()), is_first);
    follow_row(&*feed, &followed, may_query, wait, |row| {
        if let Err(e) = apply_row(&shared, &guard, row) {
            spdlog::error!("invalid configuration", kv: {
                cause = e.to_string().as_str(), revision = row.revision.0
            });
        }
    })
    .await;
}

/// Returns whether a daemon without a configuration reads the row now, although
/// another daemon is the delegate of its data centre.
fn may_read_first(shared: &Shared) -> bool {
    if shared.current.version() > Version::NONE {
        return false;
    }
    let view = shared.view.lock();
    let has_members = view.members().len() > 1;
    has_members && rand::rng().random_bool(read_probability(&view))
}

fn apply_row(shared: &Shared, guard: &Guard, row: &Row) -> Result<(), Error> {
    let declared = read_document(&row.content)?;
    if shared.current.decide(declared.version) != VersionDecision::Apply {
        return Ok(());
    }
    let documents = split(&declared.estate);
    let manifest = Manifest {
        version: declared.version,
        change: Box::default(),
        author: ROW_AUTHOR.into(),
        unix_ms: 0,
        previous: None,
        documents: Manifest::index(&documents),
    };
    apply_configuration(shared, manifest, documents)?;
    guard.reload();
    Ok(())
}
