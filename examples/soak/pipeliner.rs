//! A caller that pipelines reads on one connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller::DEADLINE;
use crate::estate::READ_PATH;
use crate::record::{Outcome, Record};

/// Number of requests that are sent at once.
const BATCH_SIZE: usize = 3;
/// Pause between the last answer and the next requests.
const PAUSE: Duration = Duration::from_millis(100);
/// First character of the ids of pipelined requests.
const ID_PREFIX: char = 'p';

/// Returns whether a request was pipelined.
pub(crate) fn is_pipelined(id: &str) -> bool {
    id.starts_with(ID_PREFIX)
}

/// Sends batches of requests to the daemon of a VM until `stop` is set.
pub(crate) async fn pipeline(
    (vm, callers): (usize, SocketAddr),
    record: Arc<Record>,
    stop: watch::Receiver<bool>,
) {
    let mut ids = (0..).map(|count| format!("{ID_PREFIX}{vm}n{count}"));
    let mut idle = None;
    while !*stop.borrow() {
        sleep(PAUSE).await;
        let Some(mut stream) = idle.take().or(dial(callers).await) else {
            continue;
        };
        let batch: Vec<String> = ids.by_ref().take(BATCH_SIZE).collect();
        for id in &batch {
            record.record_sent(id, vm, READ_PATH, None);
        }
        let mut unanswered = batch.iter();
        let answers = exchange(&mut stream, &batch, &mut unanswered, &record);
        match timeout(DEADLINE, answers).await {
            Ok(Some(())) => idle = Some(stream),
            Ok(None) | Err(_) => unanswered.for_each(|id| record.record_outcome(id, Outcome::Cut)),
        }
    }
}

async fn dial(callers: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = timeout(DEADLINE, TcpStream::connect(callers)).await;
    stream.ok()?.ok().map(BufReader::new)
}

/// Sends a batch of requests and reads the answers, which arrive in the same order.
///
/// Returns `None` if the connection fails; `unanswered` then holds the rest.
async fn exchange(
    stream: &mut BufReader<TcpStream>,
    batch: &[String],
    unanswered: &mut std::slice::Iter<'_, String>,
    record: &Record,
) -> Option<()> {
    let wait = DEADLINE.as_millis();
    let sent = batch.iter().map(|id| {
        format!(
            "GET {READ_PATH}{id} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {wait}\r\n\r\n"
        )
    });
    let sent: String = sent.collect();
    stream.write_all(sent.as_bytes()).await.ok()?;
    while let Some(id) = unanswered.as_slice().first() {
        let outcome = read_answer(stream, id).await?;
        record.record_outcome(id, outcome);
        unanswered.next();
    }
    Some(())
}

async fn read_answer(stream: &mut BufReader<TcpStream>, id: &str) -> Option<Outcome> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let count = stream.read_line(&mut head).await.ok()?;
        (count > 0).then_some(())?;
    }
    let lines = || head.lines().filter_map(|line| line.split_once(": "));
    let header = |name: &str| lines().find(|(key, _)| key.eq_ignore_ascii_case(name));
    let status: u16 = head.get(9..12)?.parse().ok()?;
    let mut body = vec![0; header("content-length")?.1.parse().ok()?];
    stream.read_exact(&mut body).await.ok()?;
    let answer_id = header("x-request-id").map(|(_, value)| value);
    Some(Outcome::Answered {
        status,
        signed: header("x-server-signature").is_some(),
        fits: match status {
            200..300 => answer_id == Some(id) && body == format!("answer to {id}").as_bytes(),
            _ => answer_id.is_none_or(|value| value == id),
        },
    })
}
