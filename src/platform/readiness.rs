//! The readiness endpoint in the platform's format.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::error::Error;
use crate::policy::resource::ConnectionGroup;
use crate::tables::Shared;
use crate::web::{HttpListener, ListenOptions, caller_text, listen_within};

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
    let options = ListenOptions::new(shared.resources.clone(), ConnectionGroup::Platform);
    let handler = move |request: Request<Incoming>, _| {
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
    };
    listen_within(address, options, handler).await
}
