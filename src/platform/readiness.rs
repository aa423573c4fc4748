//! Whether the daemon takes callers, in the platform's words.

use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;

use crate::error::Error;
use crate::tables::Shared;
use crate::web::{HttpListener, caller_text, listen};

const PATH: &str = "/readyz";
const TEXT: &str = "text/plain; charset=utf-8";

/// Answers whether the daemon takes callers.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_readiness(
    address: SocketAddr,
    shared: Arc<Shared>,
) -> Result<HttpListener, Error> {
    listen(address, move |request, _| {
        let ready = shared.is_ready();
        async move {
            match (request.uri().path(), ready) {
                (PATH, true) => caller_text(StatusCode::OK, TEXT, "ready\n"),
                (PATH, false) => caller_text(StatusCode::SERVICE_UNAVAILABLE, TEXT, "not ready\n"),
                _ => caller_text(StatusCode::NOT_FOUND, TEXT, "no such resource\n"),
            }
        }
    })
    .await
}
