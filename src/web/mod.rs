//! HTTP through libraries: serving of operators by `xitca-web`, of callers by
//! `hyper`, asking by `hyper-util`.

mod client;
mod listen;
mod payload;
mod server;

pub use client::{Answer, Client, ClientError, alive_or_closed};
pub use listen::{CallerAnswer, CallerBody, Listening, caller_body, caller_text, listen};
pub use payload::{Chunks, Cut, Payload, SMALL_BODY, collect};
pub use server::{HttpRequest, HttpResponse, Running, answer_json, answer_text, serve};
