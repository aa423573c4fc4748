//! An in-memory table store that answers immediately and may fail.

use std::cell::RefCell;
use std::collections::BTreeMap;

use bramleymount::store::{Condition, ReadError, Revision, Row, TableStore, WriteError};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableMode {
    Healthy,
    Down,
    LoseAnswers,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, (u64, Bytes)>,
    down: bool,
    lose_answers: bool,
}

/// The table; used by one thread only, the lock satisfies the trait's bounds.
#[derive(Default)]
pub(crate) struct Table {
    state: std::sync::Mutex<RefCell<State>>,
}

impl Table {
    pub(crate) fn set_mode(&self, mode: TableMode) {
        let state = self.state.lock().expect("one thread");
        let mut state = state.borrow_mut();
        state.down = mode == TableMode::Down;
        state.lose_answers = mode == TableMode::LoseAnswers;
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        let state = self.state.lock().expect("one thread");
        let mut state = state.borrow_mut();
        action(&mut state)
    }
}

/// Returns the output of a future of this table, which is always ready.
pub(crate) fn now<T>(future: impl Future<Output = T>) -> T {
    future.now_or_never().expect("the table never waits")
}

fn row(state: &State, key: &str) -> Option<Row> {
    state.rows.get(key).map(|(revision, content)| Row {
        key: key.into(),
        revision: Revision(*revision),
        content: content.clone(),
    })
}

impl TableStore for Table {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, ReadError>> {
        let result = self.with_state(|state| {
            if state.down {
                Err(ReadError("down".into()))
            } else {
                Ok(row(state, key))
            }
        });
        Box::pin(std::future::ready(result))
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        condition: Condition,
        content: Bytes,
    ) -> BoxFuture<'a, Result<Revision, WriteError>> {
        let result = self.with_state(|state| {
            if state.down {
                return Err(WriteError::NotSent("down".into()));
            }
            let found = row(state, key);
            let next = match (condition, &found) {
                (Condition::Absent, None) => 1,
                (Condition::Revision(r), Some(row)) if row.revision == r => r.0 + 1,
                _ => return Err(WriteError::Conflict(found)),
            };
            state.rows.insert(key.into(), (next, content));
            if state.lose_answers {
                return Err(WriteError::Unknown("lost".into()));
            }
            Ok(Revision(next))
        });
        Box::pin(std::future::ready(result))
    }

    fn delete<'a>(&'a self, _: &'a str, _: Revision) -> BoxFuture<'a, Result<(), WriteError>> {
        Box::pin(std::future::ready(Err(WriteError::NotSent(
            "unused".into(),
        ))))
    }

    fn scan<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<Vec<Row>, ReadError>> {
        Box::pin(std::future::ready(Err(ReadError("unused".into()))))
    }
}
