//! Standing connections to other daemons.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};

use super::call::{CONNECT_TIMEOUT, MAX_MESSAGE_BYTES};
use super::generated::peer_client::PeerClient;
use super::plain_client::PlainClient;

/// How often a connection with calls out is asked whether it still lives.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long such a question may go unanswered.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that may be under way on one stream and on one connection.
const STREAM_WINDOW: u32 = 1024 * 1024;
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;
/// How long a connection of streams may go unused; it costs both daemons some
/// 50 KB.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(20);

/// A connection of streams.
#[derive(Debug)]
struct StreamConnection {
    client: PeerClient<Channel>,
    last_used: Instant,
}

/// The connections to each daemon that is called: one that carries any number
/// of streams, and some that carry one plain call at a time.
///
/// A connection that has gone silent is found by unanswered pings or probes
/// while calls are out on it; all connections to the daemon are then replaced.
#[derive(Debug)]
pub struct Pool {
    handle: Handle,
    local_ip: IpAddr,
    clients: Mutex<BTreeMap<SocketAddr, StreamConnection>>,
    plain: Mutex<BTreeMap<SocketAddr, PlainClient>>,
}

impl Pool {
    /// Makes an empty pool whose connections go out from `own` and are driven
    /// on `handle`.
    pub fn new(handle: Handle, local_ip: IpAddr) -> Self {
        Self {
            handle,
            local_ip,
            clients: Mutex::default(),
            plain: Mutex::default(),
        }
    }

    /// Returns the client of plain calls to `address`.
    pub(super) fn plain(&self, address: SocketAddr) -> PlainClient {
        let mut plain = self.plain.lock();
        let new_plain = || PlainClient::new(address, self.local_ip);
        plain.entry(address).or_insert_with(new_plain).clone()
    }

    /// Returns the connection to `address`, which is made when first used.
    pub(super) fn client(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let last_used = Instant::now();
        let mut clients = self.clients.lock();
        if let Some(connection) = clients.get_mut(&address) {
            connection.last_used = last_used;
            return Some(connection.client.clone());
        }
        let client = self.new_client(address)?;
        let connection = StreamConnection {
            client: client.clone(),
            last_used,
        };
        clients.insert(address, connection);
        Some(client)
    }

    /// Makes a new connection apart from the standing one.
    pub(super) fn new_client(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint
            .local_address(Some(self.local_ip))
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(false)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let _entered = self.handle.enter();
        let client = PeerClient::new(endpoint.connect_lazy());
        Some(
            client
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES),
        )
    }

    /// Drops the connections to `address`; the next call makes a new one.
    pub(super) fn replace(&self, address: SocketAddr) {
        self.clients.lock().remove(&address);
        self.plain.lock().remove(&address);
    }

    /// Closes connections that have been idle for too long; calls that are out
    /// on them go on.
    pub fn trim(&self) {
        let now = Instant::now();
        let is_recent = |connection: &StreamConnection| {
            now.saturating_duration_since(connection.last_used) < MAX_UNUSED_TIME
        };
        self.clients
            .lock()
            .retain(|_, connection| is_recent(connection));
        self.plain.lock().values().for_each(PlainClient::trim);
    }

    /// Drops the connections to all addresses that `keep` does not know.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.lock().retain(|address, _| keep(address));
        self.plain.lock().retain(|address, _| keep(address));
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.clients.lock().len()
    }

    /// Tells whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
