//! Opening of TCP connections.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Opens connections to one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialer {
    /// The remote address.
    pub address: SocketAddr,
    /// The local address to connect from; any if `None`.
    pub local_ip: Option<IpAddr>,
    /// Time within which a connection must be established.
    pub timeout: Duration,
    /// Time within which sent bytes must be acknowledged, if limited.
    pub ack_timeout: Option<Duration>,
}

impl Dialer {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection isn't established in time; nothing was sent then.
    pub async fn connect(&self) -> std::io::Result<TcpStream> {
        let socket = match self.address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(local_ip) = self.local_ip {
            socket.bind(SocketAddr::new(local_ip, 0))?;
        }
        let connecting = socket.connect(self.address);
        let stream = tokio::time::timeout(self.timeout, connecting).await??;
        self.set_options(&stream)?;
        Ok(stream)
    }

    fn set_options(&self, stream: &TcpStream) -> std::io::Result<()> {
        // Messages are small, and the sender waits for each answer.
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        if self.ack_timeout.is_some() {
            socket.set_tcp_user_timeout(self.ack_timeout)?;
        }
        Ok(())
    }
}

/// Enables keepalive, which closes a dead connection within a few seconds.
pub(super) fn set_keepalive(connector: &mut HttpConnector) {
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
}
