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
pub use connections::{Connections, Keep, MAX_BUFFER, RequestError};
pub use dial::Dial;
pub use listen::{
    CallerAnswer, CallerBody, Listening, caller_body, caller_text, listen, listen_ahead,
};
pub use payload::{Chunks, Cut, Payload, SMALL_BODY, collect};
pub use serve::{Serve, Work};
pub use server::{HttpRequest, HttpResponse, Running, answer_json, answer_text, serve};

/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;
