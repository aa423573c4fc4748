//! The readiness endpoint in the platform's format.

use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;

use crate::error::Error;
use crate::tables::Shared;
use crate::web::{HttpListener, caller_text, listen};

const READINESS_PATH: &str = "/readyz";
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// Serves whether the daemon accepts callers.
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
                (READINESS_PATH, true) => caller_text(StatusCode::OK, TEXT_CONTENT_TYPE, "ready\n"),
                (READINESS_PATH, false) => caller_text(
                    StatusCode::SERVICE_UNAVAILABLE,
                    TEXT_CONTENT_TYPE,
                    "not ready\n",
                ),
                _ => caller_text(
                    StatusCode::NOT_FOUND,
                    TEXT_CONTENT_TYPE,
                    "no such resource\n",
                ),
            }
        }
    })
    .await
}
