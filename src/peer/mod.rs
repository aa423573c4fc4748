//! Calls and gossip between daemons.
//!
//! Calls that need a frame before their answer are sent through `tonic`. Gossip,
//! and calls of one message each way, are plain HTTP requests, which take half
//! of the CPU time.

mod call;
mod checksum;
mod client;
mod convert;
mod credit;
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "generated from proto/peer.proto"
)]
mod generated;
mod gossip;
mod http_head;
mod http_stream;
mod id;
mod ledger;
mod listen;
mod member;
mod message;
mod notice;
mod plain_call;
mod plain_client;
mod plain_pool;
mod plain_server;
mod pool;
mod query;
mod rollout;
mod server;
mod suspect;

pub use call::OutgoingCall;
pub use client::{inquire, send};
pub use credit::request_credit;
pub use gossip::{ExchangeOutcome, exchange, query_version};
pub use ledger::hand_over;
pub use listen::serve_peers;
pub use pool::Pool;
pub use query::ExchangeError;
pub(crate) use rollout::{apply_configuration, known_documents};
pub use server::PeerService;
