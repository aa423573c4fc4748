//! Notices that servers attach to their answers: rate limits and leaving.
//!
//! The checks compare the requests that a server received with the notices that
//! the VM of the caller had relayed before.

use std::collections::HashMap;
use std::time::Duration;

use http::HeaderMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::check::{DRAIN_DELAY, MEASUREMENT_SLACK, UNDISTURBED_TIME, Violation};
use crate::faults::World;
use crate::record::{RequestRecord, Run};
use crate::vm::{Vm, overlaps_any};

/// The header that identifies the run of a backend server.
pub(crate) const RUN_HEADER: &str = "x-soak-run";
/// The window in which requests to a server with a rate limit are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long a daemon may take to apply a limit that it relayed.
const OBEY_DELAY: Duration = Duration::from_millis(500);
/// Tolerance on a rate limit: a factor, and a number of requests on top.
const LIMIT_SHARE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// One run of a server: its VM and its start in Unix milliseconds.
pub(crate) type RunKey = (usize, u64);

/// A rate limit that a run named in its answers.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    /// Requests per second.
    rate: f64,
    /// When an answer first named it.
    first_seen: Instant,
    /// When the last answer named it.
    last: Instant,
    is_over: bool,
}

/// When a VM relayed the notices of a run, in order of time.
type RelayTimes = HashMap<(RunKey, usize), Vec<Instant>>;

/// The rate limits of all runs, and when each VM relayed their notices.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    rate_limits: Mutex<HashMap<RunKey, Vec<RateLimit>>>,
    limit_relays: Mutex<RelayTimes>,
    leaving_relays: Mutex<RelayTimes>,
}

impl Notices {
    /// Records that an answer of a run names a rate limit.
    pub(crate) fn record_limit(&self, run: RunKey, rate: f64) {
        let now = Instant::now();
        let mut rate_limits = self.rate_limits.lock();
        let rate_limits = rate_limits.entry(run).or_default();
        match rate_limits.last_mut() {
            Some(limit) if !limit.is_over => limit.last = now,
            Some(_) | None => rate_limits.push(RateLimit {
                rate,
                first_seen: now,
                last: now,
                is_over: false,
            }),
        }
    }

    /// Records that a run no longer has a rate limit.
    pub(crate) fn record_recovery(&self, run: RunKey) {
        if let Some(limit) = self
            .rate_limits
            .lock()
            .get_mut(&run)
            .and_then(|all| all.last_mut())
        {
            limit.is_over = true;
        }
    }

    /// Records the notices in the headers of an answer that a VM relayed.
    pub(crate) fn record_relay(&self, vm: usize, headers: &HeaderMap) {
        let text = headers.get(RUN_HEADER).and_then(|run| run.to_str().ok());
        let Some(run) = text.and_then(parse_run_key) else {
            return;
        };
        let now = Instant::now();
        if headers.contains_key("server-limit") {
            self.limit_relays
                .lock()
                .entry((run, vm))
                .or_default()
                .push(now);
        }
        if headers.contains_key("server-leaving") {
            self.leaving_relays
                .lock()
                .entry((run, vm))
                .or_default()
                .push(now);
        }
    }
}

/// Formats a run key for `RUN_HEADER`.
pub(crate) fn format_run_key((vm, start_ms): RunKey) -> String {
    format!("{vm}-{start_ms}")
}

fn parse_run_key(text: &str) -> Option<RunKey> {
    let (vm, start_ms) = text.split_once('-')?;
    Some((vm.parse().ok()?, start_ms.parse().ok()?))
}

/// Returns whether a VM that relayed a notice at the times in `relays` must obey
/// it at `at`.
///
/// It must if it relayed the notice at least `before` earlier and its daemon has
/// had neither a fault nor a planned stop since.
fn is_bound(vm: &Vm, relays: Option<&Vec<Instant>>, at: Instant, before: Duration) -> bool {
    let relays = relays.map_or(&[][..], Vec::as_slice);
    let count = relays.partition_point(|relay| *relay + before <= at);
    let Some(last) = relays[..count].last() else {
        return false;
    };
    !overlaps_any(&vm.daemon_faults.lock(), *last, at) && !overlaps_any(&vm.stops.lock(), *last, at)
}

/// LIMIT: a run received more requests than its rate limit allows from VMs that
/// had to obey it.
pub(crate) fn limit_violations<'s>(
    world: &World,
    notices: &Notices,
    all: impl Iterator<Item = &'s RequestRecord>,
) -> Vec<Violation> {
    let (rate_limits, limit_relays) = (notices.rate_limits.lock(), notices.limit_relays.lock());
    let mut arrivals: HashMap<RunKey, Vec<Instant>> = HashMap::new();
    for request in all {
        let counts = |run: &&Run| {
            let relays = limit_relays.get(&(run.server, request.vm));
            is_bound(&world.vms[request.vm], relays, run.at, OBEY_DELAY)
        };
        for run in request.runs.iter().filter(counts) {
            arrivals.entry(run.server).or_default().push(run.at);
        }
    }
    let mut violations = Vec::new();
    let each = rate_limits.iter();
    for (run, limit) in
        each.flat_map(|(run, rate_limits)| rate_limits.iter().map(move |limit| (run, limit)))
    {
        let times = arrivals.get(run).map_or(&[][..], Vec::as_slice);
        let allowed = limit.rate * LIMIT_SHARE * WINDOW.as_secs_f64() + LIMIT_SLACK;
        let starts = times.iter().filter(|at| {
            **at >= limit.first_seen + UNDISTURBED_TIME && **at + WINDOW <= limit.last
        });
        let counts = starts.map(|from| {
            let within = times
                .iter()
                .filter(|at| **at >= *from && **at < *from + WINDOW);
            (within.count(), *from)
        });
        let Some((most, at)) = counts.max_by_key(|(count, _)| *count) else {
            continue;
        };
        if most as f64 > allowed {
            violations.push(Violation {
                rule: "LIMIT",
                id: String::new(),
                at,
                detail: format!("vm {} named {} and got {most} in 4 s", run.0, limit.rate),
            });
        }
    }
    violations
}

/// DRAIN: a request reached a run too long after the same VM had relayed that the
/// run leaves.
pub(crate) fn leaving_violation(
    world: &World,
    notices: &Notices,
    request: &RequestRecord,
) -> Option<String> {
    let leaving = notices.leaving_relays.lock();
    let late = |run: &&Run| {
        let relays = leaving.get(&(run.server, request.vm));
        is_bound(
            &world.vms[request.vm],
            relays,
            request.at,
            DRAIN_DELAY + MEASUREMENT_SLACK,
        )
    };
    let run = request.runs.iter().find(late)?;
    Some(format!("it reached vm {} that had said it leaves", run.vm))
}
