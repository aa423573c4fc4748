//! The promises, judged by what callers and backend servers saw.
//!
//! A bound on time holds for a VM only where nothing but planned work touched
//! it, or the store, for `CONTACT` before.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::estate::{MOVED, READ, RETRY_SHARE, RETRY_SLACK, WRITE, moved_to, service};
use crate::faults::World;
use crate::record::{End, Record, Run, Sent};
use crate::vm::touches;
use crate::words;

/// How long a VM must have been undisturbed for bounds on time to hold.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// Until a version is in force everywhere.
const IN_FORCE: Duration = Duration::from_millis(2250);
/// Until a server that leaves gets nothing more.
pub(crate) const DRAINED: Duration = Duration::from_millis(2000);
/// Until the work of a request ends that its caller left.
const ENDED: Duration = Duration::from_millis(500);
/// The window in which repeats are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Crashes of one request that are allowed, and how often it may reach servers
/// after all can know of them.
const CRASHES: usize = 3;
const MOST_LATER: usize = 3;
/// Time of the process that watches, which may be late itself.
pub(crate) const LATE: Duration = Duration::from_millis(100);

/// One broken promise.
#[derive(Clone, Debug)]
pub(crate) struct Broken {
    pub(crate) rule: &'static str,
    /// The request, if it is one.
    pub(crate) id: String,
    pub(crate) at: Instant,
    pub(crate) what: String,
}

/// Judges all that was recorded.
pub(crate) fn judge(world: &World, record: &Record) -> Vec<Broken> {
    let sent = record.sent.lock();
    let mut broken: Vec<Broken> = Vec::new();
    for (id, one) in sent.iter() {
        let found = [
            ("TWICE", twice(one)),
            ("REFUSED", refused(one)),
            ("MIXED", mixed(one)),
            ("ROUTE", route(one)),
            ("UNASKED", unasked(one)),
            ("CONFIG", config(world, one)),
            ("DRAIN", drain(world, one)),
            ("DRAIN", words::leaving(world, &record.words, one)),
            ("LOST", lost(world, one)),
        ];
        for (rule, what) in found {
            broken.extend(what.map(|what| Broken {
                rule,
                id: id.clone(),
                at: one.at,
                what,
            }));
        }
    }
    broken.extend(gone(world, sent.values()));
    broken.extend(budget(sent.values()));
    broken.extend(words::limit(world, &record.words, sent.values()));
    broken.extend(deadly(world, record, sent.values()));
    broken.extend(record.held.lock().iter().map(|id| Broken {
        rule: "HELD",
        id: id.clone(),
        at: sent.get(id).map_or_else(Instant::now, |sent| sent.at),
        what: "it was held like a request that crashes servers".into(),
    }));
    let now = Instant::now();
    broken.extend(record.unasked.lock().iter().map(|id| Broken {
        rule: "UNASKED",
        id: id.clone(),
        at: now,
        what: "no caller sent it".into(),
    }));
    broken
}

fn begun(sent: &Sent) -> impl Iterator<Item = &Run> {
    sent.runs.iter().filter(|run| !run.rejected)
}

fn twice(sent: &Sent) -> Option<String> {
    let runs = begun(sent).count();
    (sent.path == WRITE && runs > 1).then(|| format!("it ran {runs} times"))
}

fn refused(sent: &Sent) -> Option<String> {
    let promised = matches!(
        sent.end,
        Some((
            _,
            End::Answered {
                status: 408 | 421 | 429 | 503,
                signed: false,
                ..
            }
        ))
    );
    let ran = begun(sent).count();
    (sent.path == WRITE && promised && ran > 0).then(|| "it was said not to have run".into())
}

fn mixed(sent: &Sent) -> Option<String> {
    let Some((
        _,
        End::Answered {
            status,
            signed,
            fits,
        },
    )) = &sent.end
    else {
        return None;
    };
    let success = (200..300).contains(status);
    let wrong = !fits || success && !signed || success && begun(sent).count() == 0;
    wrong.then(|| format!("status {status}, signed {signed}, fits {fits}"))
}

fn route(sent: &Sent) -> Option<String> {
    let allowed = |run: &&Run| match sent.path {
        READ => run.service == "front",
        WRITE => run.service == "back",
        _ => true,
    };
    let wrong = sent.runs.iter().find(|run| !allowed(run))?;
    Some(format!("{} ran it", wrong.service))
}

fn unasked(sent: &Sent) -> Option<String> {
    let own = service(sent.vm);
    let wrong = sent
        .runs
        .iter()
        .find(|run| !run.unchanged || run.origin != own)?;
    Some(format!(
        "origin {}, unchanged {}",
        wrong.origin, wrong.unchanged
    ))
}

/// Tells whether a VM and the store were undisturbed from `CONTACT` before.
fn in_touch(world: &World, vm: usize, from: Instant, to: Instant) -> bool {
    let since = from.checked_sub(CONTACT).unwrap_or(from);
    let daemon = &world.vms[vm];
    !touches(&daemon.disturbed.lock(), since, to)
        && !touches(&daemon.stops.lock(), since, to)
        && !touches(&world.store_spans.lock(), since, to)
}

/// A run by a service that only an older version allows.
fn config(world: &World, sent: &Sent) -> Option<String> {
    if sent.path != MOVED {
        return None;
    }
    let versions = world.versions.lock();
    // Versions that may be in force: the last one that had its time, and later.
    let settled = versions
        .iter()
        .rev()
        .find(|(_, at)| *at + IN_FORCE < sent.at)?
        .0;
    let allowed = |run: &Run| {
        let may = versions
            .iter()
            .filter(|(v, at)| *v >= settled && *at <= run.at);
        may.into_iter().any(|(v, _)| moved_to(*v) == run.service)
    };
    let wrong = sent.runs.iter().find(|run| !allowed(run))?;
    let calm = in_touch(world, sent.vm, sent.at, wrong.at);
    calm.then(|| format!("{} ran it after version {settled}", wrong.service))
}

/// A request that reaches a server after it was acknowledged that it leaves.
fn drain(world: &World, sent: &Sent) -> Option<String> {
    let leaving = world.leaving.lock();
    let late = |run: &&Run| {
        let mut of = leaving.iter().filter(|(vm, ..)| *vm == run.vm);
        of.any(|(_, left, gone)| run.at > *left + DRAINED + LATE && run.at < *gone)
            && sent.at > run.at - CONTACT
    };
    let run = sent.runs.iter().find(late)?;
    let calm =
        in_touch(world, sent.vm, sent.at, run.at) && in_touch(world, run.vm, sent.at, run.at);
    calm.then(|| format!("it reached vm {}", run.vm))
}

/// A request cut by a planned stop of its own daemon after a server began it.
fn lost(world: &World, sent: &Sent) -> Option<String> {
    let (end, End::Cut) = sent.end.as_ref()? else {
        return None;
    };
    let daemon = &world.vms[sent.vm];
    let since = sent.at.checked_sub(CONTACT).unwrap_or(sent.at);
    let planned = touches(&daemon.stops.lock(), since, *end);
    // Nothing else may have gone wrong on the VMs that the request touched.
    let sound = |vm: usize| !touches(&world.vms[vm].disturbed.lock(), since, *end);
    let runs_sound = begun(sent).all(|run| sound(run.vm));
    let begun = begun(sent).count() > 0;
    (planned && begun && sound(sent.vm) && runs_sound)
        .then(|| "its connection ended at a planned stop".into())
}

/// Work that goes on after its callers left; more than a quarter of it.
fn gone<'s>(world: &World, all: impl Iterator<Item = &'s Sent>) -> Option<Broken> {
    let (mut left, mut late) = (0, 0);
    let mut example = None;
    for sent in all {
        let Some((at, End::Left)) = &sent.end else {
            continue;
        };
        let long = begun(sent).filter(|run| run.ended.is_none_or(|ended| ended > *at));
        let calm = |run: &&Run| {
            in_touch(world, sent.vm, sent.at, *at + ENDED)
                && in_touch(world, run.vm, sent.at, *at + ENDED)
        };
        for run in long.filter(calm) {
            left += 1;
            if run.ended.is_none_or(|ended| ended > *at + ENDED + LATE) {
                late += 1;
                example.get_or_insert(sent.at);
            }
        }
    }
    let many = late > 3 && late * 4 > left;
    many.then(|| Broken {
        rule: "GONE",
        id: String::new(),
        at: example.unwrap_or_else(Instant::now),
        what: format!("of {left} requests whose callers left {late} were worked on"),
    })
}

/// Repeats at a service beyond what the platform allows in any window.
fn budget<'s>(all: impl Iterator<Item = &'s Sent>) -> Option<Broken> {
    let mut first: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    let mut again: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for sent in all {
        for (n, run) in sent.runs.iter().enumerate() {
            let list = if n == 0 { &mut first } else { &mut again };
            list.entry(run.service).or_default().push(run.at);
        }
    }
    for (service, times) in &again {
        for at in times {
            let within =
                |from: Instant| move |time: &&Instant| **time >= from && **time < from + WINDOW;
            let repeats = times.iter().filter(within(*at)).count() as f64;
            let firsts = first.get(service).map_or(&[][..], Vec::as_slice);
            let count = |back: Duration| {
                let from = at.checked_sub(back).unwrap_or(*at);
                firsts.iter().filter(within(from)).count()
            };
            let most = count(Duration::ZERO)
                .max(count(WINDOW))
                .max(count(WINDOW / 2));
            if repeats > most as f64 * RETRY_SHARE + RETRY_SLACK {
                return Some(Broken {
                    rule: "BUDGET",
                    id: String::new(),
                    at: *at,
                    what: format!("{repeats} repeats of {most} requests for {service}"),
                });
            }
        }
    }
    None
}

/// Deadly requests that reach servers more often than allowed once all can know
/// that they crashed three.
fn deadly<'s>(world: &World, record: &Record, all: impl Iterator<Item = &'s Sent>) -> Vec<Broken> {
    let mut crashes: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
    for (deadly, at) in record.crashes.lock().iter() {
        crashes.entry(*deadly).or_default().push(*at);
    }
    let mut later: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
    for sent in all {
        let third = sent.deadly.and_then(|deadly| {
            let crashes = crashes.get(&deadly)?;
            Some((deadly, *crashes.get(CRASHES - 1)?))
        });
        let Some((deadly, third)) = third else {
            continue;
        };
        let late = sent.runs.iter().filter(|run| {
            run.at > third + CONTACT + LATE && in_touch(world, sent.vm, sent.at, run.at)
        });
        later
            .entry(deadly)
            .or_default()
            .extend(late.map(|run| run.at));
    }
    let many = later
        .into_iter()
        .filter(|(_, runs)| runs.len() > MOST_LATER);
    many.map(|(deadly, runs)| Broken {
        rule: "BUDGET",
        id: String::new(),
        at: runs[0],
        what: format!(
            "deadly request {deadly} reached servers {} times too late; {} ended in all",
            runs.len(),
            crashes[&deadly].len()
        ),
    })
    .collect()
}

/// Returns how often requests sent in a time ended in each way.
pub(crate) fn ends(record: &Record, from: Instant, to: Instant) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for sent in record.sent.lock().values() {
        if sent.at >= from && sent.at < to {
            let end = match &sent.end {
                Some((_, End::Answered { status, .. })) => status.to_string(),
                Some((_, end)) => format!("{end:?}").to_lowercase(),
                None => "open".into(),
            };
            *ends
                .entry(format!("vm {} {} {end}", sent.vm, sent.path))
                .or_default() += 1;
        }
    }
    ends
}

/// Returns the share of requests sent since `from` that were served.
pub(crate) fn served(record: &Record, from: Instant, to: Instant) -> (usize, usize) {
    let sent = record.sent.lock();
    let ended = sent.values().filter(|s| s.at >= from && s.at < to);
    let judged = ended.filter(|s| s.deadly.is_none() && !matches!(s.end, Some((_, End::Left))));
    let mut counts = (0, 0);
    for one in judged {
        counts.1 += 1;
        let good = matches!(one.end, Some((_, End::Answered { status: 200, .. })));
        counts.0 += usize::from(good);
    }
    counts
}
