//! Cost of control traffic by the number of daemons: time for a change to reach
//! the last one, bytes and CPU time per daemon, platform requests.
//!
//! The daemons run their real tasks in one process, without backend load. Bytes
//! are the kernel's count for loopback, headers included.

#[path = "support/cpu.rs"]
mod cpu;

use std::path::Path;
use std::time::{Duration, Instant};

use bramleymount::emulator::{Behaviour, Site};
use bramleymount::store::Fault;

/// How long idle daemons are measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);

fn main() -> eyre::Result<()> {
    let sizes: Vec<u32> = match std::env::args().skip(1).find(|a| a.parse::<u32>().is_ok()) {
        Some(size) => vec![size.parse()?],
        None => vec![10, 30, 60],
    };
    println!(
        "daemons change_up_ms change_down_ms bytes_s_daemon core_percent_daemon reads_s_1000 writes_s_1000 rss_mb_daemon"
    );
    for size in sizes {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        runtime.block_on(measure_size(size))?;
        runtime.shutdown_background();
    }
    std::process::exit(0)
}

async fn measure_size(size: u32) -> eyre::Result<()> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    let memory = memory_mb();
    let mut estate = Site::load_scaled(&dir, 2, 0.1)?;
    let services = estate.services.len() as u32;
    for service in estate.services.values_mut() {
        for place in &mut service.servers {
            place.count = size / services / 2;
        }
    }
    let mut site = Site::start_without_relays(estate, |_| Behaviour::default()).await?;
    let count = site.servers.len() as f64;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (bytes, cpu, counts) = (loopback_bytes(), cpu::cpu_seconds(), site.platform.counts());
    tokio::time::sleep(MEASURE_TIME).await;
    let secs = MEASURE_TIME.as_secs_f64();
    let bytes = (loopback_bytes() - bytes) / secs / count;
    let cpu = (cpu::cpu_seconds() - cpu) / secs / count * 100.0;
    let later = site.platform.counts();
    let rate = |a: u64, b: u64| (b - a) as f64 / secs / count * 1000.0;
    let up = measure_change(&mut site, None).await?;
    let down = measure_change(&mut site, Some(Fault::Down)).await?;
    println!(
        "{count:>7} {up:>12.0} {down:>14.0} {bytes:>14.0} {cpu:>19.3} {:>12.1} {:>13.1} {:>13.2}",
        rate(counts.reads, later.reads),
        rate(counts.writes, later.writes),
        (memory_mb() - memory) / count
    );
    Ok(())
}

/// Applies a change and returns the milliseconds until the last daemon runs it.
///
/// If `fault` is set, the platform fails right after it accepted the change.
async fn measure_change(site: &mut Site, fault: Option<Fault>) -> eyre::Result<f64> {
    if let Some(service) = site.estate.services.values_mut().next() {
        service.connections = bramleymount::model::Connections::new(service.connections.get() + 1);
    }
    let start = Instant::now();
    let version = site.apply_estate().await?;
    if let Some(fault) = fault {
        site.platform.set_fault(fault);
    }
    let is_outdated = |site: &Site| {
        site.servers
            .iter()
            .any(|s| s.daemon.shared().current.version() < version)
    };
    while is_outdated(site) && start.elapsed() < Duration::from_secs(60) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.platform.set_fault(Fault::None);
    Ok(start.elapsed().as_secs_f64() * 1000.0)
}

fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.trim_start().starts_with("lo:"))
        .unwrap_or_default();
    let sent = line.split_whitespace().nth(9).and_then(|v| v.parse().ok());
    sent.unwrap_or(0.0)
}

fn memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|v| v.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}
