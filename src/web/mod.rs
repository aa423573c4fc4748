//! HTTP through libraries: serving by `xitca-web`, asking by `hyper-util`.

mod client;
mod payload;
mod server;

pub use client::{Answer, Client, ClientError};
pub use payload::{Chunks, Cut, Payload, SMALL_BODY, collect};
pub use server::{HttpRequest, HttpResponse, Running, answer_json, answer_text, serve};
