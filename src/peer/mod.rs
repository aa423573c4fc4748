//! Calls and news between daemons.
//!
//! Calls that need a word before their answer go by `tonic`; news, and a call that
//! is one message there and one back, go as plain HTTP requests, which take half
//! of the processor time.

mod ask;
mod call;
mod client;
mod convert;
mod credit;
mod direct;
mod end;
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "generated from proto/peer.proto"
)]
mod generated;
mod heads;
mod id;
mod ledger;
mod lines;
mod listen;
mod measure;
mod member;
mod message;
mod news;
mod plain;
mod pool;
mod rollout;
mod served;
mod server;
mod suspect;
mod told;

pub use ask::ExchangeError;
pub use call::Message;
pub use client::{inquire, send};
pub use credit::borrow;
pub use ledger::hand_over;
pub use listen::serve_peers;
pub use news::{Exchanged, exchange, version_of};
pub use pool::Pool;
pub(crate) use rollout::{known_documents, put_in_force};
pub use server::Peers;
