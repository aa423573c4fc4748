//! Latency of the same call direct, through the daemon of the same VM, and through
//! two daemons.
//!
//! Also measures the memory of an idle `bramleymountd` process, and how much the
//! peak memory of this process grows during a large upload.

#[path = "support/cpu.rs"]
mod cpu;
mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use bramleymount::emulator::free_address;
use bramleymount::web::Client;
use bytes::Bytes;
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use support::{find_server, start_site};

/// Number of concurrent callers.
const CALLER_COUNT: usize = 64;
const CALLS_PER_CALLER: usize = 150;
/// Mean pause of a caller between two calls, so that latency isn't that of a
/// saturated machine.
const THINK_TIME: Duration = Duration::from_millis(20);
const ANSWER_BYTES: usize = 1024;
const CAPTURE_BYTES: usize = 256 * 1024 * 1024;

fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run())?;
    runtime.shutdown_background();
    std::process::exit(0)
}

async fn run() -> eyre::Result<()> {
    let site = start_site(ANSWER_BYTES).await?;
    let find = |name: &str| find_server(&site, name);
    let status = find("station-status");
    let other = find("forecast-archive");
    let backend = status.daemon.shared().config.backend;
    let mut rounds = Vec::new();
    // The three paths alternate, so that changes in machine load affect all alike.
    for _ in 0..3 {
        let direct = run_load(backend, THINK_TIME).await;
        let local = run_load(status.callers, THINK_TIME).await;
        let hop = run_load(other.callers, THINK_TIME).await;
        rounds.push((direct, local, hop));
    }
    let median = |get: fn(&(LoadResult, LoadResult, LoadResult)) -> f64| {
        let mut values: Vec<f64> = rounds.iter().map(get).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    println!("direct_p99_us {:.0}", median(|r| r.0.p99));
    println!("local_added_p99_us {:.0}", median(|r| r.1.p99 - r.0.p99));
    println!("hop_added_p99_us {:.0}", median(|r| r.2.p99 - r.0.p99));
    println!("direct_p50_us {:.0}", median(|r| r.0.p50));
    println!("local_added_p50_us {:.0}", median(|r| r.1.p50 - r.0.p50));
    println!("hop_added_p50_us {:.0}", median(|r| r.2.p50 - r.0.p50));
    // Throughput without pauses; the CPU time includes callers and backend server.
    let full = run_load(other.callers, Duration::ZERO).await;
    println!("calls_per_core_s {:.0}", full.per_core);
    println!("rss_mb {:.1}", idle_daemon_mb()?);
    measure_capture(find("magnetometer-ingest").callers, other.callers).await
}

#[derive(Clone, Copy)]
struct LoadResult {
    p50: f64,
    p99: f64,
    per_core: f64,
}

async fn run_load(address: SocketAddr, think_time: Duration) -> LoadResult {
    let busy = cpu::cpu_seconds();
    let tasks: Vec<_> = (0..CALLER_COUNT)
        .map(|_| tokio::spawn(run_caller(address, think_time)))
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await.expect("caller task finishes"));
    }
    let busy = cpu::cpu_seconds() - busy;
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    LoadResult {
        p50: at(0.5),
        p99: at(0.99),
        per_core: times.len() as f64 / busy.max(1e-6),
    }
}

async fn run_caller(address: SocketAddr, think_time: Duration) -> Vec<f64> {
    let client = Client::new(Duration::from_secs(10), 1 << 20);
    let mut times = Vec::with_capacity(CALLS_PER_CALLER);
    for n in 0..CALLS_PER_CALLER {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = format!("http://{address}/").parse().expect("valid URI");
        request
            .headers_mut()
            .insert("host", HeaderValue::from_static("station-status"));
        let spread = 0.5 + rand::random::<f64>();
        tokio::time::sleep(think_time.mul_f64(spread)).await;
        let start = Instant::now();
        let answer = client.send(request).await.expect("call is answered");
        assert!(
            answer.status.is_success() && answer.body.len() == ANSWER_BYTES,
            "{answer:?}"
        );
        // The first calls open connections.
        if n >= 20 {
            times.push(start.elapsed().as_secs_f64() * 1e6);
        }
    }
    times
}

fn memory_mb(process: &str, field: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|l| l.starts_with(field))
        .unwrap_or_default();
    let kb = line
        .split_whitespace()
        .nth(1)
        .and_then(|v| v.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Returns the resident memory of an idle daemon, in MB.
fn idle_daemon_mb() -> eyre::Result<f64> {
    let text = format!(
        "data_centre: a\nhall: a\nservice: s\nlisten:\n  callers: {}\n  peers: {}\n  operators: {}\n\
         backend: {}\nplatform: {}\n",
        free_address()?,
        free_address()?,
        free_address()?,
        free_address()?,
        free_address()?
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("hop.yaml");
    std::fs::write(&path, text)?;
    let mut child = Command::new(env!("CARGO_BIN_EXE_bramleymountd"))
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()?;
    std::thread::sleep(Duration::from_secs(3));
    let memory = memory_mb(&child.id().to_string(), "VmRSS");
    child.kill()?;
    child.wait()?;
    Ok(memory)
}

/// Streams one large upload through two daemons and prints the growth of peak memory.
async fn measure_capture(_own: SocketAddr, entry: SocketAddr) -> eyre::Result<()> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let before = memory_mb("self", "VmHWM");
    let mut stream = tokio::net::TcpStream::connect(entry).await?;
    let head = format!(
        "{} /captures/1 HTTP/1.1\r\nhost: magnetometer-ingest\r\ncontent-length: {CAPTURE_BYTES}\r\nconnection: close\r\n\r\n",
        Method::PUT
    );
    stream.write_all(head.as_bytes()).await?;
    let chunk = vec![7; 256 * 1024];
    for _ in 0..CAPTURE_BYTES / chunk.len() {
        stream.write_all(&chunk).await?;
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    println!(
        "capture_mb {} peak_growth_mb {:.1}",
        CAPTURE_BYTES >> 20,
        memory_mb("self", "VmHWM") - before
    );
    Ok(())
}
