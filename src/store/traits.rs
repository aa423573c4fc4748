//! The two traits that stand for the platform.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Counts the writes of one row.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its name.
    pub key: Box<str>,
    /// Its revision.
    pub revision: Revision,
    /// Its content.
    pub content: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    Revision(Revision),
}

/// Why a read gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadError(pub Box<str>);

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the platform did not answer a read: {}", self.0)
    }
}

/// Why a write is not known to have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The condition did not hold; here is the row, if there is one.
    Conflict(Option<Row>),
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The write may have taken effect, or may do so later.
    Unknown(Box<str>),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(_) => f.write_str("the row was changed by somebody else"),
            Self::NotSent(cause) => write!(f, "the platform could not be reached: {cause}"),
            Self::Unknown(cause) => {
                write!(f, "the platform did not say whether it wrote: {cause}")
            }
        }
    }
}

/// The transactional table service: conditional write, read and scan.
pub trait TableStore: Send + Sync {
    /// Reads a row.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, ReadError>>;

    /// Writes a row if the condition holds; the revision is the new one.
    fn write<'a>(
        &'a self,
        key: &'a str,
        condition: Condition,
        content: Bytes,
    ) -> BoxFuture<'a, Result<Revision, WriteError>>;

    /// Deletes a row if it has this revision.
    fn delete<'a>(
        &'a self,
        key: &'a str,
        revision: Revision,
    ) -> BoxFuture<'a, Result<(), WriteError>>;

    /// Reads all rows whose names begin with `prefix`, in order.
    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>, ReadError>>;

    /// Returns a watch over how often the service is known to have come back
    /// from a copy, which loses the latest writes; one that never does keeps
    /// this default.
    fn restores(&self) -> watch::Receiver<u64> {
        watch::Sender::new(0).subscribe()
    }
}

/// What one row has become.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The name of the row.
    pub key: Box<str>,
    /// The row, unless it is gone.
    pub row: Option<Row>,
}

/// The changes of a table since some revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<RowChange>,
    /// The revision up to which they are told.
    pub revision: Revision,
}

/// Why a feed gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The changes since then are no longer known; the rows must be read.
    HistoryExpired,
    /// The platform did not answer.
    Failed(Box<str>),
}

/// A table service that tells of changes.
pub trait Feed: TableStore {
    /// Returns the changes of a table after a revision, as soon as there are
    /// any, or none after `wait`.
    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, FeedError>>;
}

/// The object store; objects are named by their content and never change.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, ReadError>>;

    /// Writes an object; writing it again changes nothing.
    fn put<'a>(&'a self, name: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), WriteError>>;
}

/// Both services together.
pub trait Platform: TableStore + ObjectStore {}

impl<T: TableStore + ObjectStore> Platform for T {}
