//! A pool of connections that carry one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::web::{ConnectionPool, Dialer, PoolLimits, RequestError};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn pool(address: SocketAddr) -> ConnectionPool<Full<Bytes>> {
    pool_with_timeout(address, Duration::from_secs(1))
}

fn pool_with_timeout(address: SocketAddr, idle: Duration) -> ConnectionPool<Full<Bytes>> {
    let dialer = Dialer {
        address,
        local_ip: None,
        timeout: Duration::from_secs(1),
        ack_timeout: None,
    };
    let limits = PoolLimits {
        max_idle: 2,
        idle_timeout: idle,
    };
    ConnectionPool::new(dialer, limits)
}

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/path".parse().expect("a path");
    request
}

async fn ask(pool: &ConnectionPool<Full<Bytes>>) -> Bytes {
    let answer = pool.request(request()).await.expect("an answer");
    let body = answer.into_body().collect().await.expect("a body");
    body.to_bytes()
}

/// Reads the head of a request.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a byte"));
    }
    String::from_utf8(head).expect("text")
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Waits until the task of a connection has seen what the other end did.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

#[tokio::test]
async fn request_reuses_the_connection() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut heads = Vec::new();
        for _ in 0..3 {
            heads.push(read_head(&mut stream).await);
            stream.write_all(ANSWER).await.expect("to write");
        }
        heads
    });
    let pool = pool(address);
    for _ in 0..3 {
        assert_eq!(ask(&pool).await, "ok");
        settle().await;
    }
    let heads = server.await.expect("a server");
    let first = heads[0].to_lowercase();
    assert!(first.starts_with("get /path http/1.1"), "{first}");
    assert!(first.contains(&format!("host: {address}")), "{first}");
    assert_eq!(pool.idle_count(), 1);
}

#[tokio::test]
async fn request_reconnects_where_the_connection_was_closed() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(async move {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_head(&mut stream).await;
            stream.write_all(ANSWER).await.expect("to write");
        }
    });
    let pool = pool(address);
    assert_eq!(ask(&pool).await, "ok");
    assert_eq!(ask(&pool).await, "ok");
    server.await.expect("a server");
}

#[tokio::test]
async fn request_skips_a_connection_whose_answer_is_unread() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_head(&mut first).await;
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
        first.write_all(head).await.expect("to write");
        let (mut second, _) = listener.accept().await.expect("a connection");
        read_head(&mut second).await;
        second.write_all(ANSWER).await.expect("to write");
    });
    let pool = pool(address);
    let unread = pool.request(request()).await.expect("a head");
    assert_eq!(ask(&pool).await, "ok");
    drop(unread);
    server.await.expect("a server");
}

#[tokio::test]
async fn request_that_may_have_arrived_is_not_sent_again() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        drop(stream);
        let again = tokio::time::timeout(Duration::from_millis(200), listener.accept());
        again.await.is_ok()
    });
    let pool = pool(address);
    let lost = pool.request(request()).await;
    assert!(matches!(lost, Err(RequestError::NoAnswer(_))), "{lost:?}");
    assert!(!server.await.expect("a server"), "it was sent twice");
}

#[tokio::test]
async fn request_reports_that_no_connection_was_established() {
    let (listener, address) = listener().await;
    drop(listener);
    let refused = pool(address).request(request()).await;
    assert!(matches!(refused, Err(RequestError::Connect(_))));
}

#[tokio::test]
async fn request_that_is_dropped_closes_its_connection() {
    let (listener, address) = listener().await;
    let pool = pool(address);
    let request_result = tokio::time::timeout(Duration::from_millis(50), pool.request(request()));
    let (request_result, accepted) = tokio::join!(request_result, listener.accept());
    assert!(request_result.is_err());
    let (mut stream, _) = accepted.expect("a connection");
    read_head(&mut stream).await;
    let end = tokio::time::timeout(Duration::from_secs(1), stream.read(&mut [0; 1])).await;
    assert_eq!(end.expect("to end").expect("to read"), 0);
    assert_eq!(pool.idle_count(), 0);
}

#[tokio::test]
async fn trim_closes_expired_connections() {
    let (listener, address) = listener().await;
    let pool = pool(address);
    pool.open().await.expect("a connection");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    pool.trim();
    assert_eq!(pool.idle_count(), 1, "it was given back just now");
    tokio::time::sleep(Duration::from_millis(1100)).await;
    pool.trim();
    assert_eq!(pool.idle_count(), 0);
    let end = tokio::time::timeout(Duration::from_secs(1), stream.read(&mut [0; 1])).await;
    assert_eq!(end.expect("to end").expect("to read"), 0);
}

// Guards against sending a request on a connection just as the server closes it at
// the time that it announced: a request that must not run twice would be lost.
#[tokio::test]
async fn request_skips_a_connection_that_is_about_to_close() {
    let (listener, address) = listener().await;
    let server = tokio::spawn(async move {
        let mut streams = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_head(&mut stream).await;
            let answer = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).await.expect("to write");
            streams.push(stream);
        }
    });
    let pool = pool_with_timeout(address, Duration::from_secs(60));
    ask(&pool).await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    let again = tokio::time::timeout(Duration::from_secs(2), ask(&pool)).await;
    assert!(again.is_ok(), "it went to the connection that was kept");
    server.await.expect("a server");
}

/// An id may be a slice of the message that the request came in.
#[tokio::test]
async fn idle_connection_keeps_no_memory_of_its_request() {
    let (listener, address) = listener().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(ANSWER).await.expect("to write");
        stream.read_u8().await
    });
    let name = HeaderName::from_static("x-request-id");
    let pool = pool(address).with_answer_id(Some(name.clone()));
    let message = Bytes::from(vec![b'1'; 500_000]);
    let id = HeaderValue::from_maybe_shared(message.slice(..16)).expect("an id");
    let mut request = request();
    request.headers_mut().insert(name, id);
    let answer = pool.request(request).await.expect("an answer");
    answer.into_body().collect().await.expect("a body");
    settle().await;
    assert_eq!(pool.idle_count(), 1);
    assert!(message.is_unique(), "the message is still in memory");
}
