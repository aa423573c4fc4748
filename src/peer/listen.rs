//! The listener of a daemon for the others: streams and plain calls on one
//! port, told apart by how a connection begins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tonic::body::Body;

use super::call::MAX_MESSAGE;
use super::generated::peer_server::PeerServer;
use super::server::Peers;
use crate::error::Error;

/// Calls under way on one connection.
const MAX_STREAMS: u32 = 8192;
/// Pause after a connection could not be accepted, for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers streams by `tonic`, plain calls by itself.
#[derive(Clone)]
struct Both {
    peers: Arc<Peers>,
    streams: PeerServer<Peers>,
}

impl Service<Request<Incoming>> for Both {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        if request.version() == Version::HTTP_2 {
            let mut streams = self.streams.clone();
            return tonic::codegen::Service::call(&mut streams, request);
        }
        let peers = Arc::clone(&self.peers);
        Box::pin(async move { Ok(peers.answer_plain(request).await) })
    }
}

/// Serves other daemons on `address` until `stop` is told.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_peers(
    address: SocketAddr,
    peers: Peers,
    stop: oneshot::Receiver<()>,
) -> Result<tokio::task::JoinHandle<()>, Error> {
    let failed = |e| Error::io(format!("listen on {address}"), e);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let peers = Arc::new(peers);
    let streams = PeerServer::from_arc(Arc::clone(&peers))
        .max_decoding_message_size(MAX_MESSAGE)
        .max_encoding_message_size(MAX_MESSAGE);
    Ok(tokio::spawn(serve(listener, Both { peers, streams }, stop)))
}

async fn serve(listener: TcpListener, service: Both, stop: oneshot::Receiver<()>) {
    let builder = builder();
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stop => break,
        };
        match accepted.and_then(prepared) {
            Ok(stream) => {
                let connection = builder.serve_connection(TokioIo::new(stream), service.clone());
                connections.spawn(graceful.watch(connection.into_owned()));
            }
            Err(e) => {
                spdlog::warn!("cannot accept a daemon", kv: { cause = e.to_string().as_str() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .auto_date_header(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS);
    builder
}

fn prepared((stream, _): (TcpStream, SocketAddr)) -> std::io::Result<TcpStream> {
    // Messages are small and each is waited for.
    stream.set_nodelay(true)?;
    Ok(stream)
}
