//! Count of activities in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts activities in progress; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<AtomicUsize>);

impl Activity {
    /// Returns the number of activities in progress.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    /// Counts an activity until the returned guard is dropped.
    pub fn begin(&self) -> ActivityGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        ActivityGuard(self.clone())
    }
}

/// Counts one activity until it is dropped.
#[derive(Debug)]
pub struct ActivityGuard(Activity);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts the connections of an HTTP server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounts {
    /// Connections with a request whose answer has not been sent completely.
    pub busy: Activity,
    /// Connections that are read to their end after their last answer.
    pub closing: Activity,
}
