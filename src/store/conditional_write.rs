//! Conditional writes that are retried after lost answers.

use bytes::Bytes;

use super::{Condition, Revision, Row, TableStore, WriteError};

/// Maximum number of tries of a write whose answers are lost.
const MAX_TRIES: usize = 3;

/// The outcome of a write with retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written(Revision),
    /// The write did not take effect and never will; holds the current row, if any.
    Conflict(Option<Row>),
    /// No try was sent; the write did not take effect and never will.
    NotSent(Box<str>),
    /// The write may have taken effect, or may do so later.
    Unknown(Box<str>),
}

/// Writes a row, and after a lost answer repeats the write under the same condition
/// until an answer shows whether it took effect.
///
/// The content must differ from every other write of the row, so that finding it
/// there means that this write took effect. Repeating the write, instead of reading
/// the row, also rules out that an earlier try takes effect later.
pub async fn write_with_retry(
    table: &dyn TableStore,
    key: &str,
    condition: Condition,
    content: Bytes,
) -> WriteOutcome {
    let mut sent = false;
    let mut cause = Box::default();
    for _ in 0..MAX_TRIES {
        match table.write(key, condition, content.clone()).await {
            Ok(revision) => return WriteOutcome::Written(revision),
            Err(WriteError::Conflict(Some(row))) if row.content == content => {
                return WriteOutcome::Written(row.revision);
            }
            Err(WriteError::Conflict(row)) if !sent || is_next_write(condition, row.as_ref()) => {
                return WriteOutcome::Conflict(row);
            }
            Err(WriteError::Conflict(_)) => {
                return WriteOutcome::Unknown("the row was changed again by another writer".into());
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

/// Returns whether a row is exactly one write past the condition, so that no other
/// write can have come between.
fn is_next_write(condition: Condition, row: Option<&Row>) -> bool {
    let next = match condition {
        Condition::Absent => Revision(1),
        Condition::Revision(revision) => Revision(revision.0 + 1),
    };
    row.is_some_and(|found| found.revision == next)
}
