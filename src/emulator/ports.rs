//! Free ports for emulated servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::error::Error;

/// First allocated port. The range lies below the ephemeral ports of the system:
/// an outgoing connection could take one of those before a server listens on it.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports of processes with consecutive ids, so that
/// concurrent processes rarely try the same ports.
const PROCESS_STRIDE: u32 = 997;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns an unused address on 127.0.0.1.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> Result<SocketAddr, Error> {
    free_address_on(Ipv4Addr::LOCALHOST.into())
}

/// Returns an unused address on `ip`.
///
/// A process gets a port again only after it has tried all others.
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
    Err(Error::remote(format!("no free port on {ip}")))
}
