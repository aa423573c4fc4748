//! Free addresses on loopback.

use std::net::{SocketAddr, TcpListener};

use crate::error::Error;

/// Finds an address on loopback that nobody listens on.
///
/// # Errors
///
/// Fails if none can be had.
pub fn free_address() -> Result<SocketAddr, Error> {
    let failed = |e| Error::io("find a free port", e);
    let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
    listener.local_addr().map_err(failed)
}
