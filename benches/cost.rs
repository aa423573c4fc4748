//! CPU time of a call, by the path it takes.
//!
//! Callers, backend servers and daemons share one process, so the time of a
//! direct call is subtracted to get the daemons' own.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bramleymount::web::Client;
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::Full;
use support::{find_server, start_site};

/// Number of concurrent callers.
const CALLER_COUNT: usize = 32;
/// Size of an answer, in bytes.
const ANSWER_BYTES: usize = 600;
/// Number of rounds; the minimum counts, since other processes only add time.
const ROUND_COUNT: usize = 3;
/// Duration of the calls of one round.
const ROUND_TIME: Duration = Duration::from_secs(2);

fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run())?;
    std::process::exit(0)
}

async fn run() -> eyre::Result<()> {
    let site = start_site(ANSWER_BYTES).await?;
    let find = |name: &str| find_server(&site, name);
    let status = find("station-status");
    let other = find("forecast-archive");
    let backend = status.daemon.shared().config.backend;
    let mut least = [f64::MAX; 3];
    for _ in 0..ROUND_COUNT {
        for (n, address) in [backend, status.callers, other.callers]
            .into_iter()
            .enumerate()
        {
            least[n] = least[n].min(micros_per_call(address).await);
        }
    }
    let [direct, local, hop] = least;
    println!("direct_us {direct:.1}");
    println!("local_us {:.1}", local - direct);
    println!("hop_us {:.1}", hop - direct);
    Ok(())
}

/// Returns the mean CPU time of a call, in microseconds.
async fn micros_per_call(address: SocketAddr) -> f64 {
    let cpu_start = cpu_seconds();
    let end = Instant::now() + ROUND_TIME;
    let tasks: Vec<_> = (0..CALLER_COUNT)
        .map(|_| tokio::spawn(run_caller(address, end)))
        .collect();
    let mut calls = 0;
    for task in tasks {
        calls += task.await.expect("caller task finishes");
    }
    (cpu_seconds() - cpu_start) / f64::from(calls) * 1e6
}

async fn run_caller(address: SocketAddr, end: Instant) -> u32 {
    let client = Client::new(Duration::from_secs(10), 1 << 20);
    let mut calls = 0;
    while Instant::now() < end {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = format!("http://{address}/").parse().expect("valid URI");
        request
            .headers_mut()
            .insert("host", HeaderValue::from_static("station-status"));
        let answer = client.send(request).await.expect("call is answered");
        calls += u32::from(answer.status.is_success());
    }
    calls
}

/// Returns the CPU time of this process, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = stat
        .split_whitespace()
        .next()
        .and_then(|n| n.parse::<f64>().ok());
    nanos.unwrap_or_default() / 1e9
}
