//! Checks of the promises against what callers and backend servers observed.
//!
//! A time bound applies to a VM only if neither a fault nor a planned stop of its
//! daemon affected it, and no fault the store, since `UNDISTURBED_TIME` before.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::estate::{
    MOVED_PATH, RETRY_SHARE, RETRY_SLACK, WRITE_PATH, moved_path_service, route_of, service_of,
};
use crate::faults::World;
use crate::notices;
use crate::record::{Outcome, Record, RequestRecord, Run};
use crate::vm::{GRACE_PERIOD, Span, Vm, overlaps_any};

/// How long a VM must have been undisturbed before time bounds apply to it.
pub(crate) const UNDISTURBED_TIME: Duration = Duration::from_secs(3);
/// Time until an accepted version is in force on all daemons.
pub(crate) const VERSION_DELAY: Duration = Duration::from_millis(2250);
/// Time until a server that leaves receives no more requests.
pub(crate) const DRAIN_DELAY: Duration = Duration::from_millis(2000);
/// Time until the work of a request stops after its caller disconnected.
const CANCEL_DELAY: Duration = Duration::from_millis(500);
/// Time from the last byte of a request until its daemon must have read it.
const UNREAD_TIME: Duration = Duration::from_millis(200);
/// The time left is passed on in whole milliseconds, rounded down at each hop.
const DEADLINE_ROUNDING: Duration = Duration::from_millis(5);
/// How long a stop counts beyond its grace.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Requests sent later after SIGTERM than this must end within the grace.
const LAST_SENT: Duration = Duration::from_secs(3);
/// The window in which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of servers that one deadly request may crash before it must be held.
const ALLOWED_CRASHES: usize = 3;
/// Number of runs of a deadly request that are tolerated after all daemons can
/// know of its crashes.
const MAX_LATE_RUNS: usize = 3;
/// Tolerance for delays in the observing process itself.
pub(crate) const MEASUREMENT_SLACK: Duration = Duration::from_millis(100);

/// One broken promise.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) rule: &'static str,
    /// The request's id; empty if the promise isn't about a single request.
    pub(crate) id: String,
    pub(crate) at: Instant,
    pub(crate) detail: String,
}

/// Checks all promises against the record and returns those that were broken.
pub(crate) fn check_promises(world: &World, record: &Record) -> Vec<Violation> {
    let requests = record.requests.lock();
    let mut violations: Vec<Violation> = Vec::new();
    for (id, request) in requests.iter() {
        let found = [
            ("TWICE", twice(request)),
            ("REFUSED", refused(request)),
            ("MIXED", mixed(request)),
            ("ROUTE", route(request)),
            ("UNASKED", unasked(request)),
            ("CONFIG", config(world, request)),
            ("DRAIN", drain(world, request)),
            (
                "DRAIN",
                notices::leaving_violation(world, &record.notices, request),
            ),
            ("LOST", lost(world, request)),
        ];
        for (rule, detail) in found {
            violations.extend(detail.map(|detail| Violation {
                rule,
                id: id.clone(),
                at: request.at,
                detail,
            }));
        }
    }
    violations.extend(abandoned_work(world, requests.values()));
    violations.extend(budget(requests.values()));
    violations.extend(notices::limit_violations(
        world,
        &record.notices,
        requests.values(),
    ));
    violations.extend(late_deadly_runs(world, record, requests.values()));
    violations.extend(record.held_ids.lock().iter().map(|id| {
        Violation {
            rule: "HELD",
            id: id.clone(),
            at: requests
                .get(id)
                .map_or_else(Instant::now, |request| request.at),
            detail: "it was held like a request that crashes servers".into(),
        }
    }));
    let now = Instant::now();
    violations.extend(record.unknown_ids.lock().iter().map(|id| Violation {
        rule: "UNASKED",
        id: id.clone(),
        at: now,
        detail: "no caller sent it".into(),
    }));
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// Returns the runs that the backend server did not reject.
fn started_runs(request: &RequestRecord) -> impl Iterator<Item = &Run> {
    request.runs.iter().filter(|run| !run.rejected)
}

/// TWICE: a non-idempotent request ran more than once.
fn twice(request: &RequestRecord) -> Option<String> {
    let runs = started_runs(request).count();
    (request.path == WRITE_PATH && runs > 1).then(|| format!("it ran {runs} times"))
}

/// REFUSED: a non-idempotent request ran though its caller was told it had not.
fn refused(request: &RequestRecord) -> Option<String> {
    let promised = matches!(
        request.outcome,
        Some((
            _,
            Outcome::Answered {
                status: 408 | 421 | 429 | 503,
                signed: false,
                ..
            }
        ))
    );
    let ran = started_runs(request).count();
    (request.path == WRITE_PATH && promised && ran > 0)
        .then(|| "it was said not to have run".into())
}

/// MIXED: an answer belongs to another request, or a success lacks a signature or a run.
fn mixed(request: &RequestRecord) -> Option<String> {
    let Some((
        _,
        Outcome::Answered {
            status,
            signed,
            fits,
        },
    )) = &request.outcome
    else {
        return None;
    };
    let success = (200..300).contains(status);
    let wrong = !fits || success && !signed || success && started_runs(request).count() == 0;
    wrong.then(|| format!("status {status}, signed {signed}, fits {fits}"))
}

/// ROUTE: a request ran at a service that its path is not routed to.
fn route(request: &RequestRecord) -> Option<String> {
    let service = route_of(request.path).service;
    let allowed = |run: &&Run| service.is_none_or(|service| run.service == service);
    let wrong = request.runs.iter().find(|run| !allowed(run))?;
    Some(format!("{} ran it", wrong.service))
}

/// UNASKED: a request was changed on the way or names the wrong origin.
fn unasked(request: &RequestRecord) -> Option<String> {
    let own = service_of(request.vm);
    let wrong = request
        .runs
        .iter()
        .find(|run| !run.unchanged || run.origin != own)?;
    Some(format!(
        "origin {}, unchanged {}",
        wrong.origin, wrong.unchanged
    ))
}

/// Returns whether neither a fault nor a planned stop of its daemon affected a VM,
/// and no fault the store, from `UNDISTURBED_TIME` before `from` until `to`.
fn is_undisturbed(world: &World, vm: usize, from: Instant, to: Instant) -> bool {
    let since = from.checked_sub(UNDISTURBED_TIME).unwrap_or(from);
    let daemon = &world.vms[vm];
    !overlaps_any(&daemon.disturbances.lock(), since, to)
        && !overlaps_any(&daemon.stops.lock(), since, to)
        && !overlaps_any(&world.store_faults.lock(), since, to)
}

/// CONFIG: a request ran at a service that only an outdated version allows.
fn config(world: &World, request: &RequestRecord) -> Option<String> {
    if request.path != MOVED_PATH {
        return None;
    }
    let versions = world.versions.lock();
    // The version that is in force everywhere; later ones may be in force as well.
    let settled = versions
        .iter()
        .rev()
        .find(|(_, at)| *at + VERSION_DELAY < request.at)?
        .0;
    let allowed = |run: &Run| {
        let may = versions
            .iter()
            .filter(|(v, at)| *v >= settled && *at <= run.at);
        may.into_iter()
            .any(|(v, _)| moved_path_service(*v) == run.service)
    };
    let wrong = request.runs.iter().find(|run| !allowed(run))?;
    let undisturbed = is_undisturbed(world, request.vm, request.at, wrong.at);
    undisturbed.then(|| format!("{} ran it after version {settled}", wrong.service))
}

/// DRAIN: a request reached a server too long after its leaving was acknowledged.
fn drain(world: &World, request: &RequestRecord) -> Option<String> {
    let leaving = world.departures.lock();
    let late = |run: &&Run| {
        let mut departures = leaving.iter().filter(|(vm, ..)| *vm == run.vm);
        departures.any(|(_, left, gone)| {
            run.at > *left + DRAIN_DELAY + MEASUREMENT_SLACK && run.at < *gone
        }) && request.at > run.at - UNDISTURBED_TIME
    };
    let run = request.runs.iter().find(late)?;
    let undisturbed = is_undisturbed(world, request.vm, request.at, run.at)
        && is_undisturbed(world, run.vm, request.at, run.at);
    undisturbed.then(|| format!("it reached vm {}", run.vm))
}

/// Returns whether a request overlaps a planned stop of a VM, which counts until a
/// second after its grace.
fn is_beside_stop(vm: &Vm, request: &RequestRecord, end: Instant) -> bool {
    let since = request
        .at
        .checked_sub(UNDISTURBED_TIME)
        .unwrap_or(request.at);
    let window = |(begin, stopped): &Span| {
        let latest = *begin + GRACE_PERIOD + STOP_SLACK;
        (*begin, stopped.map(|stopped| stopped.max(latest)))
    };
    let stops: Vec<Span> = vm.stops.lock().iter().map(window).collect();
    overlaps_any(&stops, since, end)
}

/// Returns whether a request was sent before a SIGHUP or soon after it, and ended
/// later than it.
fn is_beside_hang_up(vm: &Vm, sent: Instant, end: Instant) -> bool {
    let hang_ups = vm.hang_ups.lock();
    hang_ups
        .iter()
        .any(|at| *at < end && sent <= *at + VERSION_DELAY)
}

/// Returns whether a server was still at work in the last sixth of the grace on a
/// request that was sent soon after SIGTERM.
fn is_late_in_grace(vm: &Vm, request: &RequestRecord, sent: Instant) -> bool {
    let stops = vm.stops.lock();
    stops.iter().any(|(begin, _)| {
        let last_part = *begin + GRACE_PERIOD.mul_f64(5.0 / 6.0);
        sent <= *begin + LAST_SENT
            && started_runs(request).any(|run| run.end_time.is_none_or(|end| end >= last_part))
    })
}

/// LOST: planned work at the daemon of the caller or of the server ended a request
/// without a complete answer, or with an answer of the daemon itself while the server
/// was at work.
fn lost(world: &World, request: &RequestRecord) -> Option<String> {
    let (end, outcome) = request.outcome.as_ref()?;
    let sent = request.sent_at?;
    if *end + DEADLINE_ROUNDING >= request.deadline {
        return None;
    }
    let kind = match outcome {
        Outcome::Cut if started_runs(request).count() > 0 => "it was cut at a server".to_owned(),
        Outcome::Cut if *end > sent + UNREAD_TIME => "it was read and cut".to_owned(),
        Outcome::Answered {
            status,
            signed: false,
            ..
        } if request.runs.iter().any(|run| run.is_unfinished(*end)) => {
            format!("{status} took the place of a server at work")
        }
        _ => return None,
    };
    // A fault on a VM that the request passed through excuses the loss.
    let since = request
        .at
        .checked_sub(UNDISTURBED_TIME)
        .unwrap_or(request.at);
    let disturbed = |vm: usize| overlaps_any(&world.vms[vm].disturbances.lock(), since, *end);
    let own = &world.vms[request.vm];
    if disturbed(request.vm) || started_runs(request).any(|run| disturbed(run.vm)) {
        return None;
    }
    let server = started_runs(request)
        .map(|run| &world.vms[run.vm])
        .find(|vm| is_beside_stop(vm, request, *end));
    let (stopped, work) = if is_beside_stop(own, request, *end) {
        (own, "a stop of its caller's daemon")
    } else if let Some(server) = server {
        (server, "a stop of its server's daemon")
    } else if is_beside_hang_up(own, sent, *end) {
        (own, "a SIGHUP of its caller's daemon")
    } else {
        return None;
    };
    (!is_late_in_grace(stopped, request, sent))
        .then(|| format!("{}: {kind}, at {work}", request.path))
}

/// GONE: more than three runs, and more than a quarter of them, went on after their
/// callers disconnected.
fn abandoned_work<'s>(
    world: &World,
    all: impl Iterator<Item = &'s RequestRecord>,
) -> Option<Violation> {
    let (mut left, mut late) = (0, 0);
    let mut example = None;
    for request in all {
        let Some((at, Outcome::Left)) = &request.outcome else {
            continue;
        };
        let long = started_runs(request)
            .filter(|run| !run.is_detached && run.end_time.is_none_or(|ended| ended > *at));
        let undisturbed = |run: &&Run| {
            is_undisturbed(world, request.vm, request.at, *at + CANCEL_DELAY)
                && is_undisturbed(world, run.vm, request.at, *at + CANCEL_DELAY)
        };
        for run in long.filter(undisturbed) {
            left += 1;
            if run
                .end_time
                .is_none_or(|ended| ended > *at + CANCEL_DELAY + MEASUREMENT_SLACK)
            {
                late += 1;
                example.get_or_insert(request.at);
            }
        }
    }
    let many = late > 3 && late * 4 > left;
    many.then(|| Violation {
        rule: "GONE",
        id: String::new(),
        at: example.unwrap_or_else(Instant::now),
        detail: format!("of {left} requests whose callers left {late} were worked on"),
    })
}

/// BUDGET: a service received more retries in a window than the platform allows.
fn budget<'s>(all: impl Iterator<Item = &'s RequestRecord>) -> Option<Violation> {
    let mut first_runs: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    let mut repeat_runs: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for request in all {
        for (n, run) in request.runs.iter().enumerate() {
            let list = if n == 0 && !request.is_repeat {
                &mut first_runs
            } else {
                &mut repeat_runs
            };
            list.entry(run.service).or_default().push(run.at);
        }
    }
    for (service, times) in &repeat_runs {
        for at in times {
            let within =
                |from: Instant| move |time: &&Instant| **time >= from && **time < from + WINDOW;
            let repeats = times.iter().filter(within(*at)).count() as f64;
            let first_times = first_runs.get(service).map_or(&[][..], Vec::as_slice);
            let count = |back: Duration| {
                let from = at.checked_sub(back).unwrap_or(*at);
                first_times.iter().filter(within(from)).count()
            };
            let most = count(Duration::ZERO)
                .max(count(WINDOW))
                .max(count(WINDOW / 2));
            if repeats > most as f64 * RETRY_SHARE + RETRY_SLACK {
                return Some(Violation {
                    rule: "BUDGET",
                    id: String::new(),
                    at: *at,
                    detail: format!("{repeats} repeats of {most} requests for {service}"),
                });
            }
        }
    }
    None
}

/// BUDGET: deadly requests kept reaching servers after all daemons could know
/// that each had crashed `ALLOWED_CRASHES` of them.
fn late_deadly_runs<'s>(
    world: &World,
    record: &Record,
    all: impl Iterator<Item = &'s RequestRecord>,
) -> Vec<Violation> {
    let mut crashes: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
    for (deadly, at) in record.crashes.lock().iter() {
        crashes.entry(*deadly).or_default().push(*at);
    }
    let mut later: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
    for request in all {
        let third = request.deadly.and_then(|deadly| {
            let crashes = crashes.get(&deadly)?;
            Some((deadly, *crashes.get(ALLOWED_CRASHES - 1)?))
        });
        let Some((deadly, third)) = third else {
            continue;
        };
        let late = request.runs.iter().filter(|run| {
            run.at > third + UNDISTURBED_TIME + MEASUREMENT_SLACK
                && is_undisturbed(world, request.vm, request.at, run.at)
        });
        later
            .entry(deadly)
            .or_default()
            .extend(late.map(|run| run.at));
    }
    let many = later
        .into_iter()
        .filter(|(_, runs)| runs.len() > MAX_LATE_RUNS);
    many.map(|(deadly, runs)| Violation {
        rule: "BUDGET",
        id: String::new(),
        at: runs[0],
        detail: format!(
            "deadly request {deadly} reached servers {} times too late; {} ended in all",
            runs.len(),
            crashes[&deadly].len()
        ),
    })
    .collect()
}

/// Counts the requests sent from `from` until `to` by VM, path and outcome.
pub(crate) fn count_outcomes(
    record: &Record,
    from: Instant,
    to: Instant,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in record.requests.lock().values() {
        if request.at >= from && request.at < to {
            let end = match &request.outcome {
                Some((_, Outcome::Answered { status, .. })) => status.to_string(),
                Some((_, end)) => format!("{end:?}").to_lowercase(),
                None => "open".into(),
            };
            *counts
                .entry(format!("vm {} {} {end}", request.vm, request.path))
                .or_default() += 1;
        }
    }
    counts
}

/// Returns how many requests sent from `from` until `to` were served, of how many.
///
/// Deadly requests and those that their callers abandoned are left out, as are those
/// that a server failed because a call failed: the call itself is counted.
pub(crate) fn count_served(record: &Record, from: Instant, to: Instant) -> (usize, usize) {
    let requests = record.requests.lock();
    let ended = requests.values().filter(|s| s.at >= from && s.at < to);
    let is_left_out = |request: &RequestRecord| {
        let outcome = request.outcome.as_ref().map(|(_, outcome)| outcome);
        let failed_by_call = matches!(
            outcome,
            Some(Outcome::Answered {
                status: 500,
                signed: true,
                ..
            })
        );
        request.deadly.is_some() || outcome == Some(&Outcome::Left) || failed_by_call
    };
    let judged = ended.filter(|request| !is_left_out(request));
    let mut counts = (0, 0);
    for request in judged {
        counts.1 += 1;
        let good = matches!(
            request.outcome,
            Some((_, Outcome::Answered { status: 200, .. }))
        );
        counts.0 += usize::from(good);
    }
    counts
}
