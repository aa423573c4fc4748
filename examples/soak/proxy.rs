//! A loopback proxy that delays, drops or resets the traffic of connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the proxy does to connections.
///
/// The names are printed in reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    #[default]
    Pass,
    /// Delays each chunk.
    Delay(Duration),
    /// Drops all data, on existing and new connections.
    Silent,
    /// Forwards requests and drops answers.
    OneWay,
    /// Closes all connections and accepts none.
    Reset,
}

/// The proxy in front of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    mode: Arc<Mutex<Mode>>,
    resets: watch::Sender<u64>,
}

impl Proxy {
    pub(crate) async fn start(address: SocketAddr, target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (resets, reset_signal) = watch::channel(0);
        let proxy = Self {
            mode: Arc::default(),
            resets,
        };
        let mode = Arc::clone(&proxy.mode);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if *mode.lock() != Mode::Reset {
                    tokio::spawn(forward(
                        stream,
                        target,
                        Arc::clone(&mode),
                        reset_signal.clone(),
                    ));
                }
            }
        });
        Ok(proxy)
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        *self.mode.lock() = mode;
        if mode == Mode::Reset {
            self.resets.send_modify(|count| *count += 1);
        }
    }
}

async fn forward(
    inner: TcpStream,
    target: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    mut resets: watch::Receiver<u64>,
) {
    resets.mark_unchanged();
    let Ok(outer) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    tokio::select! {
        () = copy(inner_read, outer_write, Arc::clone(&mode), false) => {}
        () = copy(outer_read, inner_write, mode, true) => {}
        _ = resets.changed() => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: Arc<Mutex<Mode>>,
    answers: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut silent = false;
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let now = *mode.lock();
        match now {
            Mode::Delay(time) => tokio::time::sleep(time).await,
            // Dropped data can't be made up for, so the connection stays silent.
            Mode::Silent => silent = true,
            Mode::OneWay => silent |= answers,
            Mode::Pass | Mode::Reset => {}
        }
        if !silent && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
