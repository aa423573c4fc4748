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
const BUFFER: usize = 64 * 1024;

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

async fn relay(inner: TcpStream, from: SocketAddr, target: SocketAddr, network: &Network) {
    let between = (Zone::of(from.ip()), Zone::of(target.ip()));
    if network.is_cut(between.0, between.1) {
        return hang(inner).await;
    }
    let Ok(outer) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inner.set_nodelay(true);
    let _ = outer.set_nodelay(true);
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    tokio::join!(
        copy(inner_read, outer_write, between, network),
        copy(outer_read, inner_write, between, network),
    );
}

/// Holds a connection open in silence until the other side gives up.
async fn hang(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    between: (Zone, Zone),
    network: &Network,
) {
    let mut buffer = vec![0; BUFFER];
    let mut silent = false;
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        silent |= network.is_cut(between.0, between.1);
        if !silent && to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
