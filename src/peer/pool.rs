//! Pool of connections to other daemons.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};

use super::call::{CONNECT_TIMEOUT, CONNECTION_WINDOW, MAX_MESSAGE_BYTES, STREAM_WINDOW};
use super::generated::peer_client::PeerClient;
use super::plain_client::PlainClient;
use crate::web::Resources;

/// Interval of keep-alive pings on a connection with calls in flight.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a keep-alive ping. All calls on a connection end with it, and a daemon on
/// a busy VM may only stand still for a moment.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum idle time of a connection of streams, which costs both daemons about
/// 50 KB.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(20);

/// A connection of streams.
#[derive(Debug)]
struct StreamConnection {
    client: PeerClient<Channel>,
    last_used: Instant,
}

/// The connections to other daemons: for each, one that carries any number of
/// streams, and several that carry one plain call at a time.
///
/// Unanswered pings or probes reveal a dead connection while calls are in flight
/// on it. All connections to the daemon are then replaced.
#[derive(Debug)]
pub struct Pool {
    handle: Handle,
    local_ip: IpAddr,
    /// The account of what is held for calls and answers.
    pub(super) resources: Resources,
    clients: Mutex<BTreeMap<SocketAddr, StreamConnection>>,
    plain: Mutex<BTreeMap<SocketAddr, PlainClient>>,
}

impl Pool {
    /// Creates an empty pool whose connections are bound to `local_ip` and driven
    /// on `handle`.
    pub fn new(handle: Handle, local_ip: IpAddr, resources: Resources) -> Self {
        Self {
            handle,
            local_ip,
            resources,
            clients: Mutex::default(),
            plain: Mutex::default(),
        }
    }

    /// Returns the client of plain calls to `address`.
    pub(super) fn plain(&self, address: SocketAddr) -> PlainClient {
        let mut plain = self.plain.lock();
        let new_plain = || PlainClient::new(address, self.local_ip, self.resources.clone());
        plain.entry(address).or_insert_with(new_plain).clone()
    }

    /// Returns the client of streams to `address`, whose connection is opened on
    /// first use.
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

    /// Creates a client with a new connection outside the pool.
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

    /// Drops the connections to `address`; the next call opens a new one.
    pub(super) fn replace(&self, address: SocketAddr) {
        self.clients.lock().remove(&address);
        self.plain.lock().remove(&address);
    }

    /// Closes connections that were idle for too long. Calls in flight on them
    /// continue.
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

    /// Drops the connections to all addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.lock().retain(|address, _| keep(address));
        self.plain.lock().retain(|address, _| keep(address));
    }

    /// Returns the number of connections of streams.
    pub fn len(&self) -> usize {
        self.clients.lock().len()
    }

    /// Returns whether there are no connections of streams.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
