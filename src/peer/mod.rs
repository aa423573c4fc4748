//! Calls and news between daemons, by `tonic`.

mod client;
mod convert;
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "generated from proto/peer.proto"
)]
mod generated;
mod news;
mod pool;
mod server;

pub use client::{inquire, send};
pub use news::{ExchangeError, Exchanged, exchange, hand_over};
pub(crate) use news::{known_documents, put_in_force};
pub use pool::Pool;
pub use server::{Peers, serve_peers};
