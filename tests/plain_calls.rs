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
