//! Follows the operator's document through the store's feed.

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
const CONFIGURATION_ROW: &str = "op/config";
/// The table whose changes are followed.
const CONFIGURATION_TABLE: &str = "op";

/// The author recorded for versions that come from the row.
const ROW_AUTHOR: &str = "operator";

/// How long one request for changes may stay open.
///
/// A request whose answer was lost looks like one without changes until then, and
/// versions must be in force five seconds after the store works again. Only delegates
/// send these requests, so that their number does not grow with the daemons.
const FEED_WAIT: Duration = Duration::from_millis(2500);

/// Applies each version of the operator's document; never returns.
pub async fn watch_configuration(shared: Arc<Shared>, guard: Arc<Guard>, feed: Arc<dyn Feed>) {
    let followed = FollowedRow {
        key: CONFIGURATION_ROW,
        table: CONFIGURATION_TABLE,
        wait: FEED_WAIT,
    };
    let may_query = || shared.store_role.borrow().uses_store() || may_read_first(&shared);
    follow_row(&*feed, &followed, may_query, |row| {
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
