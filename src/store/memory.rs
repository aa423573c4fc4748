//! An in-memory platform with configurable faults.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{Condition, ObjectStore, ReadError, Revision, Row, TableStore, WriteError};

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every answer is delayed by this many milliseconds.
    Slow(u64),
    /// Every request fails without effect.
    Down,
    /// Writes take effect, but their answers are lost.
    LoseAnswers,
}

/// Counts of requests served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads and scans.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Box<str>, (Revision, Bytes)>,
    objects: BTreeMap<Box<str>, Bytes>,
    fault: Fault,
    counts: Counts,
}

/// The table service and object store, kept in memory.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    state: Mutex<State>,
}

impl MemoryPlatform {
    /// Sets the current fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    /// Returns the current fault.
    pub fn fault(&self) -> Fault {
        self.state.lock().fault
    }

    /// Returns the counts of requests so far.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    async fn begin_read(&self) -> Result<(), ReadError> {
        let fault = {
            let mut state = self.state.lock();
            state.counts.reads += 1;
            state.fault
        };
        match fault {
            Fault::None | Fault::LoseAnswers => Ok(()),
            Fault::Slow(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                Ok(())
            }
            Fault::Down => Err(ReadError("down".into())),
        }
    }

    /// Returns whether the answer to the write must be lost.
    async fn begin_write(&self) -> Result<bool, WriteError> {
        let fault = {
            let mut state = self.state.lock();
            state.counts.writes += 1;
            state.fault
        };
        match fault {
            Fault::None => Ok(false),
            Fault::LoseAnswers => Ok(true),
            Fault::Slow(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                Ok(false)
            }
            Fault::Down => Err(WriteError::NotSent("down".into())),
        }
    }
}

fn answer_write<T>(lost: bool, result: T) -> Result<T, WriteError> {
    if lost {
        return Err(WriteError::Unknown("answer lost".into()));
    }
    Ok(result)
}

impl State {
    fn row(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|(revision, content)| Row {
            key: key.into(),
            revision: *revision,
            content: content.clone(),
        })
    }

    fn check(&self, key: &str, condition: Condition) -> Result<Revision, WriteError> {
        let row = self.row(key);
        match (condition, &row) {
            (Condition::Absent, None) => Ok(Revision::default()),
            (Condition::Revision(expected), Some(found)) if found.revision == expected => {
                Ok(expected)
            }
            _ => Err(WriteError::Conflict(row)),
        }
    }
}

impl TableStore for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, ReadError>> {
        Box::pin(async move {
            self.begin_read().await?;
            Ok(self.state.lock().row(key))
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        condition: Condition,
        content: Bytes,
    ) -> BoxFuture<'a, Result<Revision, WriteError>> {
        Box::pin(async move {
            let lost = self.begin_write().await?;
            let revision = {
                let mut state = self.state.lock();
                let old = state.check(key, condition)?;
                let revision = Revision(old.0 + 1);
                state.rows.insert(key.into(), (revision, content));
                revision
            };
            answer_write(lost, revision)
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        revision: Revision,
    ) -> BoxFuture<'a, Result<(), WriteError>> {
        Box::pin(async move {
            let lost = self.begin_write().await?;
            {
                let mut state = self.state.lock();
                state.check(key, Condition::Revision(revision))?;
                state.rows.remove(key);
            }
            answer_write(lost, ())
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>, ReadError>> {
        Box::pin(async move {
            self.begin_read().await?;
            let state = self.state.lock();
            let keys = state
                .rows
                .range(Box::from(prefix)..)
                .map(|(key, _)| key)
                .take_while(|key| key.starts_with(prefix));
            Ok(keys.filter_map(|key| state.row(key)).collect())
        })
    }
}

impl ObjectStore for MemoryPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, ReadError>> {
        Box::pin(async move {
            self.begin_read().await?;
            Ok(self.state.lock().objects.get(name).cloned())
        })
    }

    fn put<'a>(&'a self, name: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), WriteError>> {
        Box::pin(async move {
            let lost = self.begin_write().await?;
            self.state.lock().objects.insert(name.into(), content);
            answer_write(lost, ())
        })
    }
}
