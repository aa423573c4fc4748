//! Answers of backend servers that are cut or have no valid status, as callers get them.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use socket2::SockRef;
use support::eventually;
use support::hosted::document;
use support::hosted_process::{HostedProcess, store};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Size of an answer that a daemon holds whole, in bytes.
const SMALL_PART: usize = 4_000;
/// Size of an answer that is streamed, in bytes.
const LARGE_PART: usize = 700_000;
/// How long after its part of an answer a server resets the connection.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// How long a caller waits for the end of an answer.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Answers by the path: `/x/status/CODE` with this status, `/x/FRAMING/END/BYTES` with so
/// many bytes of a body, before any of the request's body is read.
async fn run_server(address: SocketAddr) {
    let listener = TcpListener::bind(address).await.expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move { answer(stream).await });
    }
}

async fn answer(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let id = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
    let id = id.expect("an id").1;
    let common = format!("x-request-id: {id}\r\nx-server-signature: s\r\nconnection: close\r\n");
    let parts: Vec<_> = path.split('/').skip(2).collect();
    let mut stream = stream.into_inner();
    match parts[..] {
        ["status", code] => {
            let answer = format!("HTTP/1.1 {code} Odd\r\n{common}content-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await?;
        }
        [framing, end, bytes] => {
            let bytes: usize = bytes.parse().expect("a size");
            let part = vec![b'x'; bytes];
            let (header, before, after) = match framing {
                "chunks" => (
                    "transfer-encoding: chunked\r\n",
                    format!("{bytes:x}\r\n"),
                    "\r\n",
                ),
                _ => ("", String::new(), ""),
            };
            let head = format!("HTTP/1.1 200 OK\r\n{common}{header}\r\n{before}");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&part).await?;
            stream.write_all(after.as_bytes()).await?;
            if end == "whole" {
                if framing == "chunks" {
                    stream.write_all(b"0\r\n\r\n").await?;
                }
            } else {
                sleep(RESET_DELAY).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            }
        }
        _ => {
            let answer = format!("HTTP/1.1 200 OK\r\n{common}content-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await?;
        }
    }
    Ok(())
}

/// What a caller received until the connection ended.
struct Received {
    status: u16,
    head: String,
    body: Vec<u8>,
    /// Whether the connection ended without an error.
    is_clean: bool,
}

impl Received {
    /// Returns whether the caller takes the answer for a whole one.
    fn looks_whole(&self) -> bool {
        let length = self
            .head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        match length {
            Some(length) => length.parse() == Ok(self.body.len()),
            None if self.head.contains("transfer-encoding: chunked") => {
                self.body.ends_with(b"0\r\n\r\n")
            }
            None => self.is_clean,
        }
    }
}

/// Sends a request over a connection of its own and reads until that ends.
async fn ask(callers: SocketAddr, request_line: &str, upload: usize) -> Option<Received> {
    let mut stream = TcpStream::connect(callers).await.ok()?;
    let head = format!(
        "{request_line}\r\nhost: a.example\r\nx-request-id: m1\r\nx-deadline-ms: 5000\r\n\
         content-length: {upload}\r\nconnection: close\r\n\r\n"
    );
    let (mut input, mut output) = stream.split();
    let mut bytes = Vec::new();
    let sending = async {
        output.write_all(head.as_bytes()).await?;
        output.write_all(&vec![b'u'; upload]).await
    };
    let reading = timeout(ANSWER_TIME, input.read_to_end(&mut bytes));
    let (_, read) = tokio::join!(sending, reading);
    let is_clean = read.expect("an end of the answer").is_ok();
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    Some(Received {
        status: head[9..12].parse().expect("a status"),
        body: bytes[end + 4..].to_vec(),
        head,
        is_clean,
    })
}

/// Two VMs, and the addresses for callers of that of the server and of the other.
async fn start_vms() -> (Vec<HostedProcess>, impl Sized) {
    let (address, rows, listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 4.0));
    let serving = HostedProcess::start("svc", address).await;
    let other = HostedProcess::start("other", address).await;
    tokio::spawn(run_server(serving.backend));
    serving.wait_serving().await;
    other.wait_serving().await;
    for vm in [&serving, &other] {
        eventually("an answer", || async {
            let answer = ask(vm.callers, "GET /read/good HTTP/1.1", 0).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    (vec![serving, other], listening)
}

/// Guards against statuses that no answer may have, which callers would take for answers.
#[rstest]
#[case::zero("000", None)]
#[case::below_informational("099", None)]
#[case::two_digits("20", None)]
#[case::four_digits("2000", None)]
#[case::highest("599", Some(599))]
#[case::above_highest("600", None)]
#[case::three_nines("999", None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_at_caller(#[case] code: &str, #[case] expected: Option<u16>) {
    let (vms, _store) = start_vms().await;
    for vm in &vms {
        for line in ["GET /read", "POST /write"] {
            let line = format!("{line}/status/{code} HTTP/1.1");
            let received = ask(vm.callers, &line, 0).await.expect("an answer");
            assert_eq!(received.status, expected.unwrap_or(502), "{line}");
            assert!(received.looks_whole(), "{line}");
        }
    }
}

/// Guards against answers that end early and look whole, beside uploads that the server
/// leaves unread and without one.
#[rstest]
#[case::chunks("chunks")]
#[case::without_length("close")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_answer_looks_cut(
    #[case] framing: &str,
    #[values("HTTP/1.0", "HTTP/1.1")] version: &str,
    #[values(SMALL_PART, LARGE_PART)] part: usize,
) {
    let (vms, _store) = start_vms().await;
    for vm in &vms {
        for upload in [0, 300_000, 2 * 1024 * 1024] {
            for line in ["GET /read", "PUT /read", "POST /write"] {
                let line = format!("{line}/{framing}/reset/{part} {version}");
                let received = ask(vm.callers, &line, upload).await;
                let is_cut = received
                    .as_ref()
                    .is_none_or(|received| received.status != 200 || !received.looks_whole());
                assert!(is_cut, "{line} with {upload} bytes looks whole");
            }
        }
    }
}

#[rstest]
#[case::chunks("chunks")]
#[case::without_length("close")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answer_looks_whole(
    #[case] framing: &str,
    #[values("HTTP/1.0", "HTTP/1.1")] version: &str,
    #[values(SMALL_PART, LARGE_PART)] part: usize,
) {
    let (vms, _store) = start_vms().await;
    for vm in &vms {
        let line = format!("GET /read/{framing}/whole/{part} {version}");
        let received = ask(vm.callers, &line, 0).await.expect("an answer");
        assert_eq!(received.status, 200, "{line}");
        assert!(received.looks_whole(), "{line}");
        let body = received.body.iter().filter(|byte| **byte == b'x').count();
        assert_eq!(body, part, "{line}");
    }
}
