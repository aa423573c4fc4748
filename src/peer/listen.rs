//! Listener for other daemons. Streams and plain calls share one port; the first
//! bytes of a connection tell which of them it carries.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tonic::body::Body;

use super::call::{CONNECTION_WINDOW, MAX_MESSAGE_BYTES, STREAM_WINDOW};
use super::generated::peer_server::PeerServer;
use super::server::PeerService;
use crate::error::Error;
use crate::policy::resource::{ConnectionGroup, Side};
use crate::web::Holder;

/// Maximum number of concurrent calls on one connection.
const MAX_STREAMS: u32 = 8192;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The HTTP/2 connection preface, with which a connection of streams begins.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Interval between checks while the first bytes are too few to decide.
const PEEK_INTERVAL: Duration = Duration::from_millis(5);

/// Serves streams through `tonic`.
#[derive(Clone)]
struct StreamService(PeerServer<PeerService>);

impl Service<Request<Incoming>> for StreamService {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let mut streams = self.0.clone();
        tonic::codegen::Service::call(&mut streams, request)
    }
}

/// State shared by all connections of other daemons.
struct ConnectionHandler {
    peers: Arc<PeerService>,
    streams: StreamService,
    http_builder: auto::Builder<TokioExecutor>,
}

impl ConnectionHandler {
    /// Serves a connection until it ends or is evicted.
    async fn serve_connection(
        &self,
        stream: TcpStream,
        stop: watch::Receiver<()>,
        holder: Arc<Holder>,
    ) {
        tokio::select! {
            () = self.serve_until(stream, stop, &holder) => {}
            () = holder.evicted() => {}
        }
    }

    async fn serve_until(
        &self,
        stream: TcpStream,
        mut stop: watch::Receiver<()>,
        holder: &Arc<Holder>,
    ) {
        // A dropped sender also means that the daemon stops.
        let stop = async move { stop.changed().await.unwrap_or_default() };
        let result = match is_http2(&stream).await {
            // Boxed, since plain connections are many and need a smaller future.
            Ok(true) => {
                // Streams are not seen here, and any may wait for this daemon.
                holder.wait_for(Side::Own);
                Box::pin(self.serve_streams(stream, stop)).await
            }
            Ok(false) => {
                self.serve_plain(stream, stop, holder).await;
                Ok(())
            }
            Err(e) => Err(e.into()),
        };
        if let Err(e) = result {
            spdlog::debug!("peer connection failed", kv: { cause = e.to_string().as_str() });
        }
    }

    async fn serve_streams(
        &self,
        stream: TcpStream,
        stop: impl Future<Output = ()>,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let service = self.streams.clone();
        let connection = self
            .http_builder
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased;
            ended = connection.as_mut() => return ended,
            () = stop => connection.as_mut().graceful_shutdown(),
        }
        connection.await
    }

    /// Serves plain requests. When the daemon stops, only the one in progress is
    /// completed.
    async fn serve_plain(
        &self,
        stream: TcpStream,
        stop: impl Future<Output = ()>,
        holder: &Arc<Holder>,
    ) {
        let busy = AtomicBool::new(false);
        let mut serving = std::pin::pin!(self.peers.serve_plain(stream, &busy, holder));
        tokio::select! {
            biased;
            () = serving.as_mut() => return,
            () = stop => {}
        }
        if busy.load(Ordering::Relaxed) {
            serving.await;
        }
    }
}

/// Returns whether a connection begins with the HTTP/2 preface.
async fn is_http2(stream: &TcpStream) -> std::io::Result<bool> {
    let mut start = [0; HTTP2_PREFACE.len()];
    loop {
        let count = stream.peek(&mut start).await?;
        if count == 0 || start[..count] != HTTP2_PREFACE[..count] {
            return Ok(false);
        }
        if count == HTTP2_PREFACE.len() {
            return Ok(true);
        }
        tokio::time::sleep(PEEK_INTERVAL).await;
    }
}

/// Serves other daemons on `address` until `stop` resolves.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_peers(
    address: SocketAddr,
    peers: PeerService,
    stop: oneshot::Receiver<()>,
) -> Result<tokio::task::JoinHandle<()>, Error> {
    let failed = |e| Error::io(format!("listen on {address}"), e);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let peers = Arc::new(peers);
    let streams = PeerServer::from_arc(Arc::clone(&peers))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let handler = ConnectionHandler {
        peers,
        streams: StreamService(streams),
        http_builder: http_builder(),
    };
    Ok(tokio::spawn(serve(listener, Arc::new(handler), stop)))
}

async fn serve(
    listener: TcpListener,
    handler: Arc<ConnectionHandler>,
    stop: oneshot::Receiver<()>,
) {
    let (stopping, stopped) = watch::channel(());
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stop => break,
        };
        let resources = &handler.peers.shared.resources;
        match accepted.and_then(with_nodelay) {
            Ok((stream, from)) => {
                // Without room the connection closes before a request is read.
                let Ok(holder) = resources.open(ConnectionGroup::Peers, from.ip()) else {
                    continue;
                };
                let (handler, stopped) = (Arc::clone(&handler), stopped.clone());
                connections
                    .spawn(async move { handler.serve_connection(stream, stopped, holder).await });
            }
            Err(e) => {
                spdlog::warn!("cannot accept a peer connection", kv: { cause = e.to_string().as_str() });
                resources.evict_one(ConnectionGroup::Peers);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    // Calls in progress are answered, but no further requests are read.
    handler.peers.stopping.store(true, Ordering::Relaxed);
    stopping.send_replace(());
    while connections.join_next().await.is_some() {}
}

fn http_builder() -> auto::Builder<TokioExecutor> {
    let mut http_builder = auto::Builder::new(TokioExecutor::new()).http2_only();
    http_builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        // Entries reset the streams of calls that are given up. With more resets than this
        // before it takes the streams, a connection ends, and with it all other calls.
        .max_pending_accept_reset_streams(MAX_STREAMS as usize);
    http_builder
}

fn with_nodelay(
    (stream, from): (TcpStream, SocketAddr),
) -> std::io::Result<(TcpStream, SocketAddr)> {
    // Messages are small, and the sender waits for each answer.
    stream.set_nodelay(true)?;
    Ok((stream, from))
}
