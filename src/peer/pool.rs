//! Standing connections to other daemons.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};

use super::call::{CONNECT, MAX_MESSAGE};
use super::generated::peer_client::PeerClient;
use super::plain::PlainClient;

/// How often a connection with calls out is asked whether it still lives.
const PING: Duration = Duration::from_millis(500);
/// How long such a question may go unanswered.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that may be under way on one stream and on one connection.
const STREAM_WINDOW: u32 = 1024 * 1024;
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;
/// How long a connection of streams may go unused; it costs both daemons some
/// 50 KB.
const UNUSED: Duration = Duration::from_secs(20);

/// A connection of streams.
#[derive(Debug)]
struct Standing {
    client: PeerClient<Channel>,
    used: Instant,
}

/// The connections to each daemon that is called: one that carries any number
/// of streams, and some that carry one plain call at a time.
///
/// A connection that has gone silent is found by unanswered pings or probes
/// while calls are out on it; all connections to the daemon are then replaced.
#[derive(Debug)]
pub struct Pool {
    handle: Handle,
    own: IpAddr,
    clients: Mutex<BTreeMap<SocketAddr, Standing>>,
    plain: Mutex<BTreeMap<SocketAddr, PlainClient>>,
}

impl Pool {
    /// Makes an empty pool whose connections go out from `own` and are driven
    /// on `handle`.
    pub fn new(handle: Handle, own: IpAddr) -> Self {
        Self {
            handle,
            own,
            clients: Mutex::default(),
            plain: Mutex::default(),
        }
    }

    /// Returns the client of plain calls to `address`.
    pub(super) fn plain(&self, address: SocketAddr) -> PlainClient {
        let mut plain = self.plain.lock();
        let made = || PlainClient::new(address, self.own);
        plain.entry(address).or_insert_with(made).clone()
    }

    /// Returns the connection to `address`, which is made when first used.
    pub(super) fn get(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let used = Instant::now();
        let mut clients = self.clients.lock();
        if let Some(standing) = clients.get_mut(&address) {
            standing.used = used;
            return Some(standing.client.clone());
        }
        let client = self.fresh(address)?;
        let standing = Standing {
            client: client.clone(),
            used,
        };
        clients.insert(address, standing);
        Some(client)
    }

    /// Makes a new connection apart from the standing one.
    pub(super) fn fresh(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint
            .local_address(Some(self.own))
            .connect_timeout(CONNECT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(false)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        let _entered = self.handle.enter();
        let client = PeerClient::new(endpoint.connect_lazy());
        Some(
            client
                .max_decoding_message_size(MAX_MESSAGE)
                .max_encoding_message_size(MAX_MESSAGE),
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
        let is_used = |standing: &Standing| now.saturating_duration_since(standing.used) < UNUSED;
        self.clients.lock().retain(|_, standing| is_used(standing));
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
