//! The traits through which the platform's services are used.

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
    /// The name of the row.
    pub key: Box<str>,
    /// The revision of the content.
    pub revision: Revision,
    /// The content.
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

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadError(pub Box<str>);

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the platform did not answer a read: {}", self.0)
    }
}

/// Why a write failed or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The condition did not hold; holds the current row, if any.
    Conflict(Option<Row>),
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The write may have taken effect, or may do so later.
    Unknown(Box<str>),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(_) => f.write_str("the row was changed by another writer"),
            Self::NotSent(cause) => write!(f, "the platform could not be reached: {cause}"),
            Self::Unknown(cause) => {
                write!(f, "the platform did not confirm the write: {cause}")
            }
        }
    }
}

/// The transactional table service: conditional write, read and scan.
pub trait TableStore: Send + Sync {
    /// Reads a row.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, ReadError>>;

    /// Writes a row if the condition holds; returns the new revision.
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

    /// Returns a watch over the number of detected restores from a backup, each of
    /// which loses the latest writes. The default is for services that are never
    /// restored.
    fn restores(&self) -> watch::Receiver<u64> {
        watch::Sender::new(0).subscribe()
    }
}

/// The change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The name of the row.
    pub key: Box<str>,
    /// The row, unless it was deleted.
    pub row: Option<Row>,
}

/// The changes of a table after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<RowChange>,
    /// The revision up to which the changes are complete.
    pub revision: Revision,
}

/// Why a feed returned no changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The store no longer has the changes since then; the rows must be read.
    HistoryExpired,
    /// The platform did not answer.
    Failed(Box<str>),
}

/// A table service that reports changes.
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

/// A table service and object store in one.
pub trait Platform: TableStore + ObjectStore {}

impl<T: TableStore + ObjectStore> Platform for T {}
