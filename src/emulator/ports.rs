//! Free ports for emulated servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::error::Error;

/// The ports that are given out; below those that the system gives to
/// connections, which could take a port before it is listened on.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;
/// Ports by which processes that run at the same time start apart.
const PROCESS_STRIDE: u32 = 997;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns an address on loopback that nothing listens on.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> Result<SocketAddr, Error> {
    free_address_on(Ipv4Addr::LOCALHOST.into())
}

/// Returns an address on `ip` that nothing listens on.
///
/// No port is given out twice by one process until all have been.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address_on(ip: IpAddr) -> Result<SocketAddr, Error> {
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let next = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let offset = (start + next) % u32::from(PORT_COUNT);
        let address = SocketAddr::new(ip, FIRST_PORT + offset as u16);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(Error::remote(format!("no port of {ip} is free")))
}
