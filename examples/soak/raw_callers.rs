//! Callers with a connection of their own: one pipelines reads, one downloads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller::DEADLINE;
use crate::estate::{BULK_PATH, READ_PATH, STREAM_PATH, answer_body};
use crate::record::{Outcome, Record, SentRequest};

/// Number of requests that are pipelined at once.
const BATCH_SIZE: usize = 3;
/// Pause between the last answer and the next requests.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a download may take.
const DOWNLOAD_DEADLINE: Duration = Duration::from_secs(5);
/// Pause before each part of a large answer is read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Size of the parts that are read at once in bytes.
const PART_SIZE: usize = 8 * 1024;
/// Size of the receive buffer of downloads in bytes; what exceeds it waits at the
/// daemon.
const RECEIVE_BUFFER: u32 = 64 * 1024;

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Traffic {
    /// Several reads at once.
    Pipelined,
    /// Streamed answers, and large ones that are read slowly.
    Downloads,
}

impl Traffic {
    /// Returns the first character of the ids.
    const fn id_prefix(self) -> char {
        match self {
            Self::Pipelined => 'p',
            Self::Downloads => 's',
        }
    }
}

/// Returns whether a request was sent by one of these callers, with GET.
pub(crate) fn is_get(id: &str) -> bool {
    let mut all = [Traffic::Pipelined, Traffic::Downloads].into_iter();
    // Calls of backend servers extend the id.
    !id.contains('.') && all.any(|traffic| id.starts_with(traffic.id_prefix()))
}

/// Requests that are sent at once.
struct Batch {
    ids: Vec<String>,
    path: &'static str,
    wait: Duration,
    read_pause: Duration,
}

/// Sends requests to the daemon of a VM until `stop` is set.
pub(crate) async fn run_raw_caller(
    traffic: Traffic,
    (vm, callers): (usize, SocketAddr),
    record: Arc<Record>,
    stop: watch::Receiver<bool>,
) {
    let mut ids = (0..).map(|count| format!("{}{vm}n{count}", traffic.id_prefix()));
    let mut idle = None;
    let mut paths = [STREAM_PATH, BULK_PATH].into_iter().cycle();
    while !*stop.borrow() {
        sleep(PAUSE).await;
        let Some(mut stream) = idle.take().or(dial(traffic, callers).await) else {
            continue;
        };
        let path = match traffic {
            Traffic::Pipelined => READ_PATH,
            Traffic::Downloads => paths.next().unwrap_or(STREAM_PATH),
        };
        let (size, wait) = match traffic {
            Traffic::Pipelined => (BATCH_SIZE, DEADLINE),
            Traffic::Downloads => (1, DOWNLOAD_DEADLINE),
        };
        let read_pause = match path {
            BULK_PATH => READ_PAUSE,
            _ => Duration::ZERO,
        };
        let batch = Batch {
            ids: ids.by_ref().take(size).collect(),
            path,
            wait,
            read_pause,
        };
        for id in &batch.ids {
            let sent = SentRequest {
                vm,
                path,
                deadly: None,
                wait,
                is_repeat: false,
            };
            record.record_sent(id, sent);
        }
        let mut unanswered = batch.ids.iter();
        let answers = exchange(&mut stream, &batch, &mut unanswered, &record);
        match timeout(wait, answers).await {
            Ok(Some(keeps_alive)) => idle = keeps_alive.then_some(stream),
            Ok(None) | Err(_) => unanswered.for_each(|id| record.record_outcome(id, Outcome::Cut)),
        }
    }
}

async fn dial(traffic: Traffic, callers: SocketAddr) -> Option<BufReader<TcpStream>> {
    let socket = TcpSocket::new_v4().ok()?;
    if traffic == Traffic::Downloads {
        socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    }
    let stream = timeout(DEADLINE, socket.connect(callers)).await;
    stream.ok()?.ok().map(BufReader::new)
}

/// Sends a batch of requests and reads the answers, which arrive in the same order;
/// returns whether the connection may be used again.
///
/// Returns `None` if the connection fails; `unanswered` then holds the rest.
async fn exchange(
    stream: &mut BufReader<TcpStream>,
    batch: &Batch,
    unanswered: &mut std::slice::Iter<'_, String>,
    record: &Record,
) -> Option<bool> {
    let (path, wait) = (batch.path, batch.wait.as_millis());
    let sent = batch.ids.iter().map(|id| {
        format!(
            "GET {path}{id} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {wait}\r\n\r\n"
        )
    });
    let sent: String = sent.collect();
    stream.write_all(sent.as_bytes()).await.ok()?;
    for id in &batch.ids {
        record.record_sent_whole(id);
    }
    let mut keeps_alive = true;
    while let Some(id) = unanswered.as_slice().first() {
        let expected = answer_body(path, id);
        let (outcome, stays_open) = read_answer(stream, id, &expected, batch.read_pause).await?;
        record.record_outcome(id, outcome);
        keeps_alive &= stays_open;
        unanswered.next();
    }
    Some(keeps_alive)
}

/// Reads an answer; returns also whether the connection stays open.
async fn read_answer(
    stream: &mut BufReader<TcpStream>,
    id: &str,
    expected: &Bytes,
    read_pause: Duration,
) -> Option<(Outcome, bool)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let count = stream.read_line(&mut head).await.ok()?;
        (count > 0).then_some(())?;
    }
    let lines = || head.lines().filter_map(|line| line.split_once(": "));
    let header = |name: &str| lines().find(|(key, _)| key.eq_ignore_ascii_case(name));
    let status: u16 = head.get(9..12)?.parse().ok()?;
    let mut body = vec![0; header("content-length")?.1.parse().ok()?];
    for part in body.chunks_mut(PART_SIZE) {
        sleep(read_pause).await;
        stream.read_exact(part).await.ok()?;
    }
    let answer_id = header("x-request-id").map(|(_, value)| value);
    let outcome = Outcome::Answered {
        status,
        signed: header("x-server-signature").is_some(),
        fits: match status {
            200..300 => answer_id == Some(id) && body == *expected,
            _ => answer_id.is_none_or(|value| value == id),
        },
    };
    let closes = header("connection").is_some_and(|(_, value)| value == "close");
    Some((outcome, !closes))
}
