//! HTTP servers and clients: operators are served by `xitca-web`, callers by
//! `hyper`; requests are sent by `hyper` and `hyper-util`.

mod activity;
mod answer_filter;
mod caller_connection;
mod client;
mod connection_pool;
mod dialer;
mod early_head;
mod early_request;
mod head_scanner;
mod late_body;
mod listen;
mod payload;
mod pipeline;
mod pipelined_body;
mod pipelined_stream;
mod request_handler;
mod resources;
mod stage;
mod threaded_server;

use std::time::Duration;

pub use activity::{Activity, ActivityGuard, ConnectionCounts};
pub use client::{Answer, Client, ClientError};
pub use connection_pool::{ConnectionPool, MAX_BUFFER, PoolLimits, RequestError};
pub use dialer::Dialer;
pub use listen::{
    CallerAnswer, CallerBody, HttpListener, ListenOptions, caller_body, caller_text, listen,
    listen_pipelined, listen_within,
};
pub use payload::{
    ChunkSender, Chunks, IncompleteBody, MAX_QUEUED_BYTES, MAX_STREAMED_BYTES, MAX_WHOLE_BODY,
    Payload, StreamClosed, collect,
};
pub use request_handler::{AnswerFuture, RequestHandler, UnsentAnswer};
pub use resources::{Charge, EvictionCounts, Holder, Resources};
pub use threaded_server::{
    HttpRequest, HttpResponse, ThreadedServer, answer_json, answer_text, serve,
};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Time for which a caller's remaining bytes are read after its last answer.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
