//! HTTP through libraries: serving of operators by `xitca-web`, of callers by
//! `hyper`, asking by `hyper` and `hyper-util`.

mod client;
mod connections;
mod dial;
mod listen;
mod payload;
mod server;

pub use client::{Answer, Client, ClientError};
pub use connections::{Connections, Keep, MAX_BUFFER, RequestError};
pub use dial::Dial;
pub use listen::{CallerAnswer, CallerBody, Listening, caller_body, caller_text, listen};
pub use payload::{Chunks, Cut, Payload, SMALL_BODY, collect};
pub use server::{HttpRequest, HttpResponse, Running, answer_json, answer_text, serve};
