//! A relay before a listener, on which the emulated network acts.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::{Network, Zone};
use crate::error::Error;

/// Bytes read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// Passes connections on, unless the two sides are cut off from each other.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Relay {
    /// Relays connections to `address` on to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
        network: Arc<Network>,
    ) -> Result<Self, Error> {
        let failed = |e| Error::io(format!("listen on {address}"), e);
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let task = tokio::spawn(accept(listener, target, network));
        Ok(Self { address, task })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, network: Arc<Network>) {
    while let Ok((stream, from)) = listener.accept().await {
        let network = Arc::clone(&network);
        tokio::spawn(async move { relay(stream, from, target, &network).await });
    }
}

async fn relay(accepted: TcpStream, from: SocketAddr, target: SocketAddr, network: &Network) {
    let zones = (Zone::from_ip(from.ip()), Zone::from_ip(target.ip()));
    if network.is_partitioned(zones.0, zones.1) {
        return read_until_closed(accepted).await;
    }
    let Ok(connected) = TcpStream::connect(target).await else {
        return;
    };
    let _ = accepted.set_nodelay(true);
    let _ = connected.set_nodelay(true);
    let (accepted_read, accepted_write) = accepted.into_split();
    let (connected_read, connected_write) = connected.into_split();
    tokio::join!(
        copy(accepted_read, connected_write, zones, network),
        copy(connected_read, accepted_write, zones, network),
    );
}

/// Holds a connection open in silence until the other side gives up.
async fn read_until_closed(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    zones: (Zone, Zone),
    network: &Network,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut discards = false;
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        discards |= network.is_partitioned(zones.0, zones.1);
        if !discards && to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
