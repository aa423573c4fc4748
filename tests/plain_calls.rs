//! Calls between daemons that are one request and one answer.

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

/// Two daemons; the first has no backend server of the service that is called.
async fn site(answer: usize) -> Site {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    let mut estate = Site::estate(&dir, 1, 1.0).expect("an estate");
    estate
        .services
        .retain(|name, _| [CALLED, CALLING].contains(&name.as_str()));
    estate.services.values_mut().for_each(|s| s.depends.clear());
    Site::start(estate, |_| Behaviour {
        answer,
        ..Behaviour::default()
    })
    .await
    .expect("a site")
}

fn server<'s>(site: &'s Site, name: &str) -> &'s Server {
    let mut all = site.servers.iter();
    all.find(|s| s.service.as_str() == name).expect("a server")
}

/// Calls the other daemon's service; `None` if the answer does not end well.
async fn call(site: &Site) -> Option<(u16, Bytes)> {
    let url = format!("http://{}/charts/1", server(site, CALLING).callers);
    let host = headers(&[("host", CALLED)]);
    let answer = request(Method::GET, &url, host, Bytes::new()).await?;
    Some((answer.status.as_u16(), answer.body))
}

#[rstest]
#[case::small(64)]
#[case::held_whole(200_000)]
#[case::streamed(2_000_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_brings_whole_answer(#[case] size: usize) {
    let site = site(size).await;
    // The first calls make connections, the later ones use them again.
    for _ in 0..20 {
        let (status, body) = call(&site).await.expect("an answer");
        assert_eq!((status, body.len()), (200, size));
    }
}

/// Announces two million bytes on each connection, and closes before them.
fn cutting_backend(address: SocketAddr) {
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
async fn call_never_makes_a_cut_answer_whole() {
    let mut site = site(64).await;
    let place = site
        .servers
        .iter()
        .position(|s| s.service.as_str() == CALLED);
    let cut = site.servers.remove(place.expect("a server"));
    let address = cut.daemon.shared().config.backend;
    drop(cut.backend);
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    cutting_backend(address);
    for _ in 0..4 {
        let ended = call(&site).await;
        assert!(
            ended.as_ref().is_none_or(|(status, _)| *status >= 500),
            "a success of {} bytes",
            ended.map_or(0, |(_, body)| body.len())
        );
    }
}

#[rstest]
#[case::no_message("/call", b"no message", 400)]
#[case::empty("/call", b"", 400)]
#[case::other_path("/else", b"", 404)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_refuses_what_is_no_call(
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

/// Answers one request with headers that are empty, long or come twice; tells
/// the head that it got.
fn telling_backend(address: SocketAddr) -> std::sync::mpsc::Receiver<String> {
    let listener = TcpListener::bind(address).expect("a listener");
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().take(16) {
            let Ok(mut stream) = stream else { return };
            let mut head = Vec::new();
            let mut byte = [0; 1];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
                head.extend_from_slice(&byte);
            }
            let _ = tell.send(String::from_utf8_lossy(&head).to_lowercase());
            let long = "v".repeat(300);
            let answer = format!(
                "HTTP/1.1 201 Created\r\nx-empty:\r\nx-twice: a\r\nx-twice: b\r\n\
                 x-long: {long}\r\nconnection: x-hop\r\nx-hop: 1\r\ncontent-length: 2\r\n\r\nok"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    told
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_carries_headers_both_ways() {
    let mut site = site(64).await;
    let place = site
        .servers
        .iter()
        .position(|s| s.service.as_str() == CALLED);
    let told = site.servers.remove(place.expect("a server"));
    let address = told.daemon.shared().config.backend;
    drop(told.backend);
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let told = telling_backend(address);
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
    let head = told.recv().expect("a head");
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
async fn peer_answers_what_comes_in_pieces(#[case] pieces: &[&str], #[case] status: &str) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let site = site(64).await;
    let peers = server(&site, CALLED).daemon.shared().config.listen.peers;
    let mut stream = tokio::net::TcpStream::connect(peers)
        .await
        .expect("a connection");
    // Twice, since a connection is used again.
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
async fn peer_closes_its_connections_when_it_stops() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut site = site(64).await;
    let place = site
        .servers
        .iter()
        .position(|s| s.service.as_str() == CALLED);
    let stopped = site.servers.remove(place.expect("a server"));
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
