//! HTTP through libraries: serving of operators by `xitca-web`, of callers by
//! `hyper`, asking by `hyper` and `hyper-util`.

mod ahead;
mod begun;
mod client;
mod connection;
mod connections;
mod dial;
mod head_end;
mod in_turn;
mod listen;
mod next_head;
mod payload;
mod pipeline;
mod serve;
mod server;
mod stage;

pub use client::{Answer, Client, ClientError};
pub use connections::{ConnectionPool, MAX_BUFFER, PoolLimits, RequestError};
pub use dial::Dialer;
pub use listen::{
    CallerAnswer, CallerBody, HttpListener, caller_body, caller_text, listen, listen_pipelined,
};
pub use payload::{Chunks, IncompleteBody, MAX_WHOLE_BODY, Payload, collect};
pub use serve::{AnswerFuture, RequestHandler};
pub use server::{HttpRequest, HttpResponse, ThreadedServer, answer_json, answer_text, serve};

/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;
