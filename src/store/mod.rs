//! Clients and stand-ins of the platform's table service and object store.

mod client;
mod conditional_write;
mod era;
mod memory;
mod standin;
mod traits;

pub use client::HttpPlatform;
pub use conditional_write::{WriteOutcome, write_with_retry};
pub use era::{Era, Eras};
pub use memory::{Fault, MemoryPlatform};
pub use standin::serve_standin;
pub use traits::{
    Changes, Condition, Feed, FeedError, ObjectStore, Platform, ReadError, Revision, Row,
    RowChange, TableStore, WriteError,
};
