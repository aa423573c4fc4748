//! A relay in front of a backend server that sends some of its answers once more.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::World;

/// Most bytes that are copied at once.
const CHUNK_SIZE: usize = 16 * 1024;

/// Listens on `address` and relays each connection to `server`.
pub(crate) async fn start(
    world: &Arc<World>,
    address: SocketAddr,
    server: SocketAddr,
) -> eyre::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let world = Arc::clone(world);
    tokio::spawn(async move {
        loop {
            let Ok((daemon, _)) = listener.accept().await else {
                world.fail("a relay has ended");
                return;
            };
            let world = Arc::clone(&world);
            // Either end may break a connection off, which closes the other side as well.
            tokio::spawn(async move { relay(&world, daemon, server).await });
        }
    });
    Ok(())
}

/// Copies bytes both ways until one side closes.
async fn relay(world: &World, mut daemon: TcpStream, server: SocketAddr) -> io::Result<()> {
    let mut server = TcpStream::connect(server).await?;
    daemon.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let mut request = vec![0; CHUNK_SIZE];
    let mut answer = vec![0; CHUNK_SIZE];
    let mut last_answer = Vec::new();
    loop {
        tokio::select! {
            count = daemon.read(&mut request) => {
                let bytes = &request[..count?];
                if bytes.is_empty() {
                    return Ok(());
                }
                server.write_all(bytes).await?;
                // Bytes that follow an answer begin the next request.
                let extra = std::mem::take(&mut last_answer);
                if !extra.is_empty() && world.random.lock().random_bool(world.extra) {
                    daemon.write_all(&extra).await?;
                    world.extra_answers.fetch_add(1, Ordering::Relaxed);
                }
            }
            count = server.read(&mut answer) => {
                let bytes = &answer[..count?];
                if bytes.is_empty() {
                    return Ok(());
                }
                daemon.write_all(bytes).await?;
                last_answer.extend_from_slice(bytes);
            }
        }
    }
}
