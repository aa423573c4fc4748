//! The rule LOST, for requests of callers and calls of servers alike.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::World;
use crate::record::{Exchange, Outcome, Run};

/// How long a stop counts beyond its grace.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Requests sent later after SIGTERM than this must end within the grace.
const LATE_SEND: Duration = Duration::from_secs(3);
/// From this time after its last byte a connection may not end without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Number of broken promises that are printed in detail.
const MAX_PRINTED: usize = 8;

/// How a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    /// The connection ended after a server had the request.
    CutAtServer,
    /// The connection ended later than `LOSS_SLACK`.
    CutLate,
    /// An answer of the daemon came in place of a server at work.
    AnsweredInstead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    InStop,
    OutsideStops,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer {
                status,
                signed: true,
                ..
            } => write!(f, "{status} of a server"),
            Self::Answer { status, text, .. } => write!(f, "{status} {text}"),
            Self::Cut(error) => write!(f, "cut: {error}"),
            Self::Unreached => f.write_str("unreached"),
            Self::Waited => f.write_str("deadline reached"),
            Self::Left => f.write_str("left"),
        }
    }
}

/// Returns how a request was lost, whether around a stop or not.
fn find_loss(exchange: &Exchange, timeout: Duration) -> Option<Loss> {
    let (end, outcome) = exchange.end.as_ref()?;
    if *end >= exchange.sent + exchange.wait.min(timeout) {
        return None;
    }
    let has_run = |run: &Run| !run.rejected && run.read <= *end;
    match outcome {
        Outcome::Cut(_) if exchange.runs.iter().any(has_run) => Some(Loss::CutAtServer),
        Outcome::Cut(_) if *end > exchange.sent + LOSS_SLACK => Some(Loss::CutLate),
        Outcome::Answer { signed: false, .. } => {
            let mut runs = exchange.runs.iter();
            let at_work = runs.any(|run| run.is_at_work(*end));
            at_work.then_some(Loss::AnsweredInstead)
        }
        _ => None,
    }
}

/// Returns the SIGTERM of the sender's VM around which a request ended.
fn find_stop(exchange: &Exchange, stops: &[Instant], grace: Duration) -> Option<Instant> {
    let (end, _) = exchange.end.as_ref()?;
    let around = |stop: &&Instant| **stop <= *end && exchange.sent <= **stop + grace + STOP_SLACK;
    stops.iter().rfind(around).copied()
}

/// Returns whether a server was still at work in the last sixth of the grace on a
/// request that was sent no later than `LATE_SEND` after SIGTERM.
fn is_late_in_grace(exchange: &Exchange, stop: Instant, grace: Duration) -> bool {
    let last_part = stop + grace.mul_f64(5.0 / 6.0);
    let at_work =
        |run: &Run| run.read <= stop + grace && run.end.is_none_or(|end| end >= last_part);
    exchange.sent <= stop + LATE_SEND && exchange.runs.iter().any(at_work)
}

/// Prints counts by class and outcome and the first lost requests; returns the number of
/// lost ones.
pub(crate) fn report(world: &World, start: Instant) -> usize {
    let exchanges = world.record.exchanges.lock();
    let grace = world.site.grace();
    let mut outcomes: BTreeMap<(&str, String), usize> = BTreeMap::new();
    let mut losses: BTreeMap<(Moment, Loss, &str, String), usize> = BTreeMap::new();
    let mut lost = Vec::new();
    for (id, exchange) in exchanges.iter() {
        let class = &world.site.classes[exchange.class];
        let Some((end, outcome)) = &exchange.end else {
            continue;
        };
        let text = outcome.to_string();
        let name = (&*class.name, text.clone());
        *outcomes.entry(name).or_default() += 1;
        let Some(loss) = find_loss(exchange, class.timeout()) else {
            continue;
        };
        let stop = find_stop(exchange, &world.vms[exchange.vm].stops.lock(), grace);
        if stop.is_some_and(|stop| is_late_in_grace(exchange, stop, grace)) {
            continue;
        }
        let moment = stop.map_or(Moment::OutsideStops, |_| Moment::InStop);
        *losses
            .entry((moment, loss, &*class.name, text))
            .or_default() += 1;
        lost.push((*end, id, exchange, stop));
    }
    for ((class, outcome), count) in &outcomes {
        println!("{count:8} {class}: {outcome}");
    }
    lost.sort_by_key(|(end, ..)| *end);
    for (_, id, exchange, stop) in lost.iter().take(MAX_PRINTED) {
        print_case(world, id, exchange, *stop, start);
    }
    for ((moment, loss, class, outcome), count) in &losses {
        println!("LOST {count}, {moment:?}, {loss:?}, {class}: {outcome}");
    }
    println!("{} requests and calls", exchanges.len());
    lost.len()
}

fn print_case(world: &World, id: &str, exchange: &Exchange, stop: Option<Instant>, start: Instant) {
    let seconds = |moment: Instant| moment.saturating_duration_since(start).as_secs_f64();
    let Some((end, outcome)) = &exchange.end else {
        return;
    };
    let class = &world.site.classes[exchange.class];
    let due = seconds(exchange.sent + exchange.wait.min(class.timeout()));
    println!(
        "lost: {id}, {}, to vm {}, sent {:.3}, SIGTERM {:.3?}, ended {:.3}, due {due:.3}: {outcome}",
        class.name,
        exchange.vm,
        seconds(exchange.sent),
        stop.map(seconds),
        seconds(*end),
    );
    for run in &exchange.runs {
        println!(
            "    at vm {}, read {:.3}, began {:.3?}, ended {:.3?}, answered {:?}, rejected {}",
            run.vm,
            seconds(run.read),
            run.begin.map(seconds),
            run.end.map(seconds),
            run.status,
            run.rejected,
        );
    }
}
