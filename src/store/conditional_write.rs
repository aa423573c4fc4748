//! Conditional writes that settle their own lost answers.

use bytes::Bytes;

use super::{Condition, Revision, Row, TableStore, WriteError};

/// Tries before a write whose answers are lost is left unsettled.
const TRIES: usize = 3;

/// What is known of a write in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written(Revision),
    /// It did not and never will; here is the row, if there is one.
    Conflict(Option<Row>),
    /// Nothing was ever sent; it did not take effect and never will.
    NotSent(Box<str>),
    /// It may have taken effect or may do so later.
    Unknown(Box<str>),
}

/// Writes a row, and on a lost answer writes it again under the same
/// condition until an answer settles it.
///
/// The content must differ from every other write of the row, so that finding
/// it there means that this write took effect. Writing again, rather than
/// reading back, also rules out that the first write takes effect later.
pub async fn write_with_retry(
    table: &dyn TableStore,
    key: &str,
    condition: Condition,
    content: Bytes,
) -> WriteOutcome {
    let mut sent = false;
    let mut cause = Box::default();
    for _ in 0..TRIES {
        match table.write(key, condition, content.clone()).await {
            Ok(revision) => return WriteOutcome::Written(revision),
            Err(WriteError::Conflict(Some(row))) if row.content == content => {
                return WriteOutcome::Written(row.revision);
            }
            Err(WriteError::Conflict(row)) if !sent || is_next(condition, row.as_ref()) => {
                return WriteOutcome::Conflict(row);
            }
            Err(WriteError::Conflict(_)) => {
                return WriteOutcome::Unknown("the row was changed again since".into());
            }
            Err(WriteError::NotSent(why)) => cause = why,
            Err(WriteError::Unknown(why)) => {
                sent = true;
                cause = why;
            }
        }
    }
    if sent {
        WriteOutcome::Unknown(cause)
    } else {
        WriteOutcome::NotSent(cause)
    }
}

/// Tells whether a row is just one write further than the condition, so that
/// no other write can have stood between.
fn is_next(condition: Condition, row: Option<&Row>) -> bool {
    let next = match condition {
        Condition::Absent => Revision(1),
        Condition::Revision(revision) => Revision(revision.0 + 1),
    };
    row.is_some_and(|found| found.revision == next)
}
