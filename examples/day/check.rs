//! The rule LOST, for requests of callers and calls of servers alike.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::World;
use crate::record::{Exchange, Outcome, Run};

/// How long a stop counts beyond its grace.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Requests sent later after SIGTERM than this must end within the grace.
const LATE_SEND: Duration = Duration::from_secs(3);
/// From this time after its last byte a connection may not end without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Number of lost requests that are printed in detail.
const MAX_PRINTED: usize = 8;

/// Returns whether a server has the request at `moment`, or lost it before because it
/// was broken off there.
fn is_at_work(run: &Run, moment: Duration) -> bool {
    let is_answered = run.status.is_some() && run.end.is_some_and(|end| end <= moment);
    !run.rejected && run.read <= moment && !is_answered
}

/// Returns how a request was lost, whether around a stop or not.
fn find_loss(exchange: &Exchange, timeout: Duration) -> Option<&'static str> {
    let (end, outcome) = exchange.end.as_ref()?;
    if *end >= exchange.deadline.min(exchange.sent + timeout) {
        return None;
    }
    let mut runs = exchange.runs.iter();
    match outcome {
        Outcome::Cut(_) if runs.any(|run| !run.rejected && run.read <= *end) => {
            Some("cut at a server")
        }
        Outcome::Cut(_) if *end > exchange.sent + LOSS_SLACK => Some("cut late"),
        Outcome::Own(..) if runs.any(|run| is_at_work(run, *end)) => {
            Some("answered in place of a server at work")
        }
        _ => None,
    }
}

/// Returns the SIGTERM of the sender's VM around which a request ended.
fn find_stop(exchange: &Exchange, stops: &[Duration], grace: Duration) -> Option<Duration> {
    let (end, _) = exchange.end.as_ref()?;
    let mut stops = stops.iter().rev();
    let is_around =
        |stop: &&Duration| **stop <= *end && exchange.sent <= **stop + grace + STOP_SLACK;
    stops.find(is_around).copied()
}

/// Returns whether a server was still at work in the last sixth of the grace on a
/// request that was sent no later than `LATE_SEND` after SIGTERM.
fn is_late_in_grace(exchange: &Exchange, stop: Duration, grace: Duration) -> bool {
    let last_part = stop + grace.mul_f64(5.0 / 6.0);
    let mut runs = exchange.runs.iter();
    exchange.sent <= stop + LATE_SEND
        && runs.any(|run| {
            run.read <= stop + grace && run.end.is_none_or(|end| end >= last_part) && !run.rejected
        })
}

/// Returns the number of servers' calls around stops, and how many parents failed since
/// one of them was not answered by a server.
fn count_failed_parents(world: &World, exchanges: &HashMap<Box<str>, Exchange>) -> (usize, usize) {
    let grace = world.site.grace();
    let mut calls = 0;
    let mut failed = BTreeSet::new();
    for (id, exchange) in exchanges {
        let Some((parent, _)) = id.rsplit_once('.') else {
            continue;
        };
        if find_stop(exchange, &world.vms[exchange.vm].stops.lock(), grace).is_none() {
            continue;
        }
        calls += 1;
        if !matches!(exchange.end, Some((_, Outcome::Signed(_)))) {
            failed.insert(parent);
        }
    }
    (calls, failed.len())
}

/// Prints counts by class and outcome and the first lost requests; returns the number of
/// lost ones.
pub(crate) fn report(world: &World) -> usize {
    let exchanges = world.record.exchanges.lock();
    let grace = world.site.grace();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    let mut losses: BTreeMap<String, usize> = BTreeMap::new();
    let mut lost = Vec::new();
    for (id, exchange) in exchanges.iter() {
        let class = &exchange.class;
        let outcome = exchange.end.as_ref().map(|(_, outcome)| outcome);
        let outcome = outcome.map_or("Left".into(), |outcome| format!("{outcome:?}"));
        *outcomes.entry(format!("{class}: {outcome}")).or_default() += 1;
        let Some(loss) = find_loss(exchange, world.site.classes[class].timeout()) else {
            continue;
        };
        let stop = find_stop(exchange, &world.vms[exchange.vm].stops.lock(), grace);
        if stop.is_some_and(|stop| is_late_in_grace(exchange, stop, grace)) {
            continue;
        }
        let moment = stop.map_or("outside stops", |_| "in a stop");
        let kind = format!("{moment}, {loss}, {class}: {outcome}");
        *losses.entry(kind).or_default() += 1;
        lost.push((exchange.sent, id, exchange, stop));
    }
    for (kind, count) in outcomes {
        println!("{count:8} {kind}");
    }
    lost.sort_by_key(|(sent, ..)| *sent);
    for (_, id, exchange, stop) in lost.iter().take(MAX_PRINTED) {
        println!("lost: {id}, SIGTERM {stop:?}, {exchange:?}");
    }
    for (kind, count) in losses {
        println!("LOST {count} {kind}");
    }
    println!("{} requests and calls", exchanges.len());
    let (calls, failed) = count_failed_parents(world, &exchanges);
    println!("{calls} calls of servers around stops, {failed} parents without an answer");
    lost.len()
}
