//! Plain calls between daemons: one HTTP request and one response.

#![allow(missing_docs)]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use bramleymount::emulator::{Behaviour, Server, Site};
use bytes::Bytes;
use http::Method;
use rstest::rstest;
use support::{headers, request};

const CALLED: &str = "forecast-archive";
const CALLING: &str = "station-status";

/// Starts two daemons; the calling one has no backend server of the service that
/// it calls.
async fn site(answer: usize) -> Site {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    let mut estate = Site::load_scaled(&dir, 1, 1.0).expect("an estate");
    estate
        .services
        .retain(|name, _| [CALLED, CALLING].contains(&name.as_str()));
    estate.services.values_mut().for_each(|s| s.depends.clear());
    Site::start(estate, |_| Behaviour {
        answer_bytes: answer,
        ..Behaviour::default()
    })
    .await
    .expect("a site")
}

fn server<'s>(site: &'s Site, name: &str) -> &'s Server {
    let mut all = site.servers.iter();
    all.find(|s| s.service.as_str() == name).expect("a server")
}

/// Calls the service of the other daemon. Returns `None` if the answer is
/// incomplete.
async fn call(site: &Site) -> Option<(u16, Bytes)> {
    let url = format!("http://{}/charts/1", server(site, CALLING).callers);
    let host = headers(&[("host", CALLED)]);
    let answer = request(Method::GET, &url, host, Bytes::new()).await?;
    Some((answer.status.as_u16(), answer.body))
}

#[rstest]
#[case::small(64)]
#[case::buffered(200_000)]
#[case::streamed(2_000_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_returns_complete_answer(#[case] size: usize) {
    let site = site(size).await;
    // The first calls open connections, and later ones reuse them.
    for _ in 0..20 {
        let (status, body) = call(&site).await.expect("an answer");
        assert_eq!((status, body.len()), (200, size));
    }
}

/// Announces a body of 2,000,000 bytes on each connection, but closes it after
/// 700,000.
fn truncating_backend(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("a listener");
    std::thread::spawn(move || {
        for stream in listener.incoming().take(16) {
            let Ok(mut stream) = stream else { return };
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n\r\n");
            let _ = stream.write_all(&[b'x'; 700_000]);
        }
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_fails_on_incomplete_answer() {
    let mut site = site(64).await;
    let index = site
        .servers
        .iter()
        .position(|s| s.service.as_str() == CALLED);
    let removed = site.servers.remove(index.expect("a server"));
    let address = removed.daemon.shared().config.backend;
    drop(removed.backend);
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    truncating_backend(address);
    for _ in 0..4 {
        let answer = call(&site).await;
        assert!(
            answer.as_ref().is_none_or(|(status, _)| *status >= 500),
            "a success of {} bytes",
            answer.map_or(0, |(_, body)| body.len())
        );
    }
}

#[rstest]
#[case::no_message("/call", b"no message", 400)]
#[case::empty("/call", b"", 400)]
#[case::other_path("/else", b"", 404)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_rejects_invalid_calls(
    #[case] path: &str,
    #[case] body: &'static [u8],
    #[case] status: u16,
) {
    let site = site(64).await;
    let peers = server(&site, CALLED).daemon.shared().config.listen.peers;
    let url = format!("http://{peers}{path}");
    let answer = request(Method::POST, &url, headers(&[]), body.into()).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), status);
    assert_eq!(call(&site).await.expect("an answer").0, 200);
}

/// Answers one request per connection with empty, long and repeated headers, and
/// reports the head of the request.
fn recording_backend(address: SocketAddr) -> std::sync::mpsc::Receiver<String> {
    let listener = TcpListener::bind(address).expect("a listener");
    let (sender, heads) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().take(16) {
            let Ok(mut stream) = stream else { return };
            let mut head = Vec::new();
            let mut byte = [0; 1];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
                head.extend_from_slice(&byte);
            }
            let _ = sender.send(String::from_utf8_lossy(&head).to_lowercase());
            let long = "v".repeat(300);
            let answer = format!(
                "HTTP/1.1 201 Created\r\nx-empty:\r\nx-twice: a\r\nx-twice: b\r\n\
                 x-long: {long}\r\nconnection: x-hop\r\nx-hop: 1\r\ncontent-length: 2\r\n\r\nok"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    heads
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_carries_headers_both_ways() {
    let mut site = site(64).await;
    let index = site
        .servers
        .iter()
        .position(|s| s.service.as_str() == CALLED);
    let removed = site.servers.remove(index.expect("a server"));
    let address = removed.daemon.shared().config.backend;
    drop(removed.backend);
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let heads = recording_backend(address);
    let url = format!("http://{}/charts/1?a=b", server(&site, CALLING).callers);
    let long = "w".repeat(300);
    let sent = headers(&[
        ("host", CALLED),
        ("x-none", ""),
        ("x-wide", &long),
        ("accept", "text/plain"),
    ]);
    let answer = request(Method::GET, &url, sent, Bytes::new())
        .await
        .expect("an answer");
    let head = heads.recv().expect("a head");
    assert!(head.starts_with("get /charts/1?a=b http/1.1"), "{head}");
    for line in [
        "x-none: \r",
        &format!("x-wide: {long}\r"),
        "accept: text/plain\r",
    ] {
        assert!(head.contains(line), "{line} in {head}");
    }
    assert_eq!((answer.status.as_u16(), &*answer.body), (201, &b"ok"[..]));
    let all = |name: &str| -> Vec<&[u8]> {
        let values = answer.headers.get_all(name).iter();
        values.map(http::HeaderValue::as_bytes).collect()
    };
    assert_eq!(all("x-empty"), [b""]);
    assert_eq!(all("x-twice"), [b"a", b"b"]);
    assert_eq!(all("x-long"), [&[b'v'; 300][..]]);
    assert!(all("x-hop").is_empty());
}

#[rstest]
#[case::in_pieces(&["POST /el", "se HTTP/1.1\r\ncontent-le", "ngth: 3\r\n\r\na", "bc"], "404")]
#[case::in_chunks(&["POST /call HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nab", "c\r\n0\r\n\r\n"], "400")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_answers_split_requests(#[case] pieces: &[&str], #[case] status: &str) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let site = site(64).await;
    let peers = server(&site, CALLED).daemon.shared().config.listen.peers;
    let mut stream = tokio::net::TcpStream::connect(peers)
        .await
        .expect("a connection");
    // Twice, to test that the connection is reused.
    for _ in 0..2 {
        for piece in pieces {
            stream.write_all(piece.as_bytes()).await.expect("to write");
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        let mut answer = [0; 256];
        let count = stream.read(&mut answer).await.expect("an answer");
        let answer = String::from_utf8_lossy(&answer[..count]);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_closes_connections_on_stop() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut site = site(64).await;
    let index = site
        .servers
        .iter()
        .position(|s| s.service.as_str() == CALLED);
    let stopped = site.servers.remove(index.expect("a server"));
    let peers = stopped.daemon.shared().config.listen.peers;
    let mut stream = tokio::net::TcpStream::connect(peers)
        .await
        .expect("a connection");
    let request = b"POST /else HTTP/1.1\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request).await.expect("to write");
    let mut answer = [0; 256];
    assert!(stream.read(&mut answer).await.expect("an answer") > 0);
    stopped.daemon.kill();
    let end = tokio::time::timeout(std::time::Duration::from_secs(2), stream.read(&mut answer));
    assert_eq!(end.await.expect("to end").unwrap_or_default(), 0);
}
