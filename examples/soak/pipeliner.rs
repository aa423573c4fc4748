//! A caller that sends several reads before the first is answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller::DEADLINE;
use crate::estate::READ;
use crate::record::{End, Record};

/// Requests that are sent at once.
const TOGETHER: usize = 3;
/// Pause between the last answer and the next requests.
const PAUSE: Duration = Duration::from_millis(100);
/// How the ids of such requests begin.
const MARK: char = 'p';

/// Tells whether a request is one of several that were sent at once.
pub(crate) fn is_pipelined(id: &str) -> bool {
    id.starts_with(MARK)
}

/// Sends requests to the daemon of a VM until `stop` is told.
pub(crate) async fn pipeline(
    (vm, callers): (usize, SocketAddr),
    record: Arc<Record>,
    stop: watch::Receiver<bool>,
) {
    let mut ids = (0..).map(|count| format!("{MARK}{vm}n{count}"));
    let mut kept = None;
    while !*stop.borrow() {
        sleep(PAUSE).await;
        let Some(mut stream) = kept.take().or(dial(callers).await) else {
            continue;
        };
        let together: Vec<String> = ids.by_ref().take(TOGETHER).collect();
        for id in &together {
            record.sent(id, vm, READ, None);
        }
        let mut left = together.iter();
        let asked = ask(&mut stream, &together, &mut left, &record);
        match timeout(DEADLINE, asked).await {
            Ok(Some(())) => kept = Some(stream),
            Ok(None) | Err(_) => left.for_each(|id| record.ended(id, End::Cut)),
        }
    }
}

async fn dial(callers: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = timeout(DEADLINE, TcpStream::connect(callers)).await;
    stream.ok()?.ok().map(BufReader::new)
}

/// Sends requests and takes their answers, which come in the same order.
async fn ask(
    stream: &mut BufReader<TcpStream>,
    together: &[String],
    left: &mut std::slice::Iter<'_, String>,
    record: &Record,
) -> Option<()> {
    let wait = DEADLINE.as_millis();
    let sent = together.iter().map(|id| {
        format!(
            "GET {READ}{id} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {wait}\r\n\r\n"
        )
    });
    let sent: String = sent.collect();
    stream.write_all(sent.as_bytes()).await.ok()?;
    while let Some(id) = left.as_slice().first() {
        let end = answer(stream, id).await?;
        record.ended(id, end);
        left.next();
    }
    Some(())
}

async fn answer(stream: &mut BufReader<TcpStream>, id: &str) -> Option<End> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let count = stream.read_line(&mut head).await.ok()?;
        (count > 0).then_some(())?;
    }
    let lines = || head.lines().filter_map(|line| line.split_once(": "));
    let header = |name: &str| lines().find(|(of, _)| of.eq_ignore_ascii_case(name));
    let status: u16 = head.get(9..12)?.parse().ok()?;
    let mut body = vec![0; header("content-length")?.1.parse().ok()?];
    stream.read_exact(&mut body).await.ok()?;
    let of = header("x-request-id").map(|(_, of)| of);
    Some(End::Answered {
        status,
        signed: header("x-server-signature").is_some(),
        fits: match status {
            200..300 => of == Some(id) && body == format!("answer to {id}").as_bytes(),
            _ => of.is_none_or(|of| of == id),
        },
    })
}
