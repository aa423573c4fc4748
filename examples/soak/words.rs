//! What servers say of themselves with their answers, and whether it is obeyed:
//! counted by the servers, by the VM at which a request began.

use std::collections::HashMap;
use std::time::Duration;

use http::HeaderMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::check::{Broken, CONTACT, DRAINED, LATE};
use crate::faults::World;
use crate::record::{Run, Sent};
use crate::vm::{Vm, touches};

/// The header by which the soak's servers tell their runs apart.
pub(crate) const RUN: &str = "x-soak-run";
/// The window in which requests to a server in need are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long an entry that was told may take to obey.
const TOLD: Duration = Duration::from_millis(500);
/// What a limit allows of a window: a multiple, and a slack on top.
const LIMIT_SHARE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// One run of a server: its VM, and when it started in Unix milliseconds.
pub(crate) type RunKey = (usize, u64);

/// A need of one run.
#[derive(Clone, Copy, Debug)]
struct Need {
    rate: f64,
    /// When it was first named in an answer.
    named: Instant,
    /// When the last answer named it.
    last: Instant,
    over: bool,
}

/// When a VM passed a word of a run on, in order.
type Passed = HashMap<(RunKey, usize), Vec<Instant>>;

/// The words of all runs, and when which VM passed them on.
#[derive(Debug, Default)]
pub(crate) struct Words {
    needs: Mutex<HashMap<RunKey, Vec<Need>>>,
    limits: Mutex<Passed>,
    leaving: Mutex<Passed>,
}

impl Words {
    /// Notes that a run names a rate with an answer.
    pub(crate) fn named(&self, run: RunKey, rate: f64) {
        let now = Instant::now();
        let mut needs = self.needs.lock();
        let needs = needs.entry(run).or_default();
        match needs.last_mut() {
            Some(need) if !need.over => need.last = now,
            Some(_) | None => needs.push(Need {
                rate,
                named: now,
                last: now,
                over: false,
            }),
        }
    }

    /// Notes that a run is no longer in need.
    pub(crate) fn recovered(&self, run: RunKey) {
        if let Some(need) = self
            .needs
            .lock()
            .get_mut(&run)
            .and_then(|all| all.last_mut())
        {
            need.over = true;
        }
    }

    /// Notes what a VM passes on with the headers of an answer.
    pub(crate) fn passed(&self, vm: usize, headers: &HeaderMap) {
        let text = headers.get(RUN).and_then(|run| run.to_str().ok());
        let Some(run) = text.and_then(parse) else {
            return;
        };
        let now = Instant::now();
        if headers.contains_key("server-limit") {
            self.limits.lock().entry((run, vm)).or_default().push(now);
        }
        if headers.contains_key("server-leaving") {
            self.leaving.lock().entry((run, vm)).or_default().push(now);
        }
    }
}

/// Writes the name of a run.
pub(crate) fn name((vm, born): RunKey) -> String {
    format!("{vm}-{born}")
}

fn parse(text: &str) -> Option<RunKey> {
    let (vm, born) = text.split_once('-')?;
    Some((vm.parse().ok()?, born.parse().ok()?))
}

/// Tells whether a VM that passed a word on at some of these times is bound by it
/// at `at`: it was told `before` or earlier, and nothing that excuses it happened to
/// it since.
fn is_bound(vm: &Vm, told: Option<&Vec<Instant>>, at: Instant, before: Duration) -> bool {
    let told = told.map_or(&[][..], Vec::as_slice);
    let count = told.partition_point(|told| *told + before <= at);
    let Some(last) = told[..count].last() else {
        return false;
    };
    !touches(&vm.upset.lock(), *last, at) && !touches(&vm.stops.lock(), *last, at)
}

/// Finds a run that got more than it had named of VMs that had been told.
pub(crate) fn limit<'s>(
    world: &World,
    words: &Words,
    all: impl Iterator<Item = &'s Sent>,
) -> Vec<Broken> {
    let (needs, limits) = (words.needs.lock(), words.limits.lock());
    let mut arrivals: HashMap<RunKey, Vec<Instant>> = HashMap::new();
    for sent in all {
        let counts = |run: &&Run| {
            let told = limits.get(&(run.server, sent.vm));
            is_bound(&world.vms[sent.vm], told, run.at, TOLD)
        };
        for run in sent.runs.iter().filter(counts) {
            arrivals.entry(run.server).or_default().push(run.at);
        }
    }
    let mut broken = Vec::new();
    let each = needs.iter();
    for (run, need) in each.flat_map(|(run, needs)| needs.iter().map(move |need| (run, need))) {
        let times = arrivals.get(run).map_or(&[][..], Vec::as_slice);
        let allowed = need.rate * LIMIT_SHARE * WINDOW.as_secs_f64() + LIMIT_SLACK;
        let starts = times
            .iter()
            .filter(|at| **at >= need.named + CONTACT && **at + WINDOW <= need.last);
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
            broken.push(Broken {
                rule: "LIMIT",
                id: String::new(),
                at,
                what: format!("vm {} named {} and got {most} in 4 s", run.0, need.rate),
            });
        }
    }
    broken
}

/// Finds that a request reached a run which had said, by the same VM, that it
/// leaves.
pub(crate) fn leaving(world: &World, words: &Words, sent: &Sent) -> Option<String> {
    let leaving = words.leaving.lock();
    let late = |run: &&Run| {
        let told = leaving.get(&(run.server, sent.vm));
        is_bound(&world.vms[sent.vm], told, sent.at, DRAINED + LATE)
    };
    let run = sent.runs.iter().find(late)?;
    Some(format!("it reached vm {} that had said it leaves", run.vm))
}
