//! Regular log lines on the load of the guard.

use std::sync::Arc;
use std::time::Duration;

use crate::config::dropped_lines;
use crate::guard::Guard;
use crate::tables::Shared;
use crate::web::EvictionCounts;

/// How often the load is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of workspaces that a line names.
const MAX_WORKSPACES: usize = 4;

/// Logs the load of the guard while calls wait or are shed, and counts late answers, forever.
pub async fn log_load(shared: Arc<Shared>, guard: Arc<Guard>) {
    let mut dropped = 0;
    let mut busy = false;
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        guard.trim();
        guard.count_late_answers();
        log_evictions(&shared);
        let load = guard.gate().report();
        let loaded = load.waiting > 0 || load.shed > 0;
        if loaded || busy {
            let service = shared.config.service.as_str();
            spdlog::info!("load", kv: {
                service,
                in_flight = load.running,
                limit = load.limit,
                rate = load.rate.map_or_else(String::new, |rate| rate.to_string()).as_str(),
                waiting = load.waiting,
                started = load.started,
                shed = load.shed,
                level = load.level.get(),
                below = load.downstream.get(),
                latency_ms = load.latency.as_millis() as u64
            });
        }
        if loaded {
            log_workspaces(&guard);
        }
        busy = loaded;
        log_suppressed(&shared);
        let lines = dropped_lines();
        if lines > dropped {
            spdlog::warn!("log lines dropped", kv: { count = lines - dropped });
            dropped = lines;
        }
    }
}

/// Logs the connections that were evicted or refused because the account was full.
fn log_evictions(shared: &Shared) {
    let counts = shared.resources.take_counts();
    if counts != EvictionCounts::default() {
        spdlog::warn!("connections closed to free memory or descriptors", kv: {
            evicted = counts.evicted,
            refused = counts.refused,
            held_kb = shared.resources.used() / 1024
        });
    }
}

/// Logs how many lines about single calls were suppressed since the last such line.
pub(super) fn log_suppressed(shared: &Shared) {
    let suppressed = shared.log_limiter.take_suppressed();
    if suppressed.total() > 0 {
        spdlog::info!("log lines on calls suppressed", kv: {
            count = suppressed.total(),
            sent = suppressed.sent,
            dropped = suppressed.dropped,
            stopping = suppressed.stopping
        });
    }
}

/// Logs the workspaces that used most slot time since the last such line.
fn log_workspaces(guard: &Guard) {
    let rows = guard.take_recent_usages();
    if rows.is_empty() {
        return;
    }
    let most = rows.iter().take(MAX_WORKSPACES).map(|row| {
        let name = &row.name;
        format!("{name} {} ms, {} shed", row.time.as_millis(), row.shed)
    });
    let most: Vec<_> = most.collect();
    let most = most.join("; ");
    spdlog::info!("slots by workspace", kv: { most = most.as_str() });
}
