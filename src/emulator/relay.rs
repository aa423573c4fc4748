//! A TCP relay in front of a listener, which applies network partitions.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::{Network, Zone};
use crate::error::Error;

/// Size of the read buffer per direction.
const BUFFER_BYTES: usize = 64 * 1024;

/// Relays connections, unless a partition separates the two zones.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Relay {
    /// Relays connections from `address` to `target`.
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

    /// Returns the address that the relay listens on.
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

/// Keeps a connection open without an answer until the other side closes it.
async fn read_until_closed(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}

/// Copies data in one direction. Once a partition has dropped data, all that
/// follows is dropped too, since a stream with a gap would be corrupt.
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
