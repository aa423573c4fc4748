//! Free addresses on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use crate::error::Error;

/// Finds an address on loopback that nobody listens on.
///
/// # Errors
///
/// Fails if none can be had.
pub fn free_address() -> Result<SocketAddr, Error> {
    free_address_on(IpAddr::V4(Ipv4Addr::LOCALHOST))
}

/// Finds an address with the IP number `ip` that nobody listens on.
///
/// # Errors
///
/// Fails if none can be had.
pub fn free_address_on(ip: IpAddr) -> Result<SocketAddr, Error> {
    let failed = |e| Error::io("find a free port", e);
    let listener = TcpListener::bind((ip, 0)).map_err(failed)?;
    listener.local_addr().map_err(failed)
}
