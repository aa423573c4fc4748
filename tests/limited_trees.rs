//! Trees of calls whose last service takes few calls a second.
//!
//! The load answered here: all servers of a service down the chain have named a
//! rate, and more trees need it than that. Callers need trees that would fail there
//! to be refused before they use the servers above, the less important ones first.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::call::Reason;
use bramleymount::model::{
    ClassRank, Depth, GuardNews, Instance, NamedRate, Priority, Rate, RootId, RunId, Slots,
    StartStamp, Told,
};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event, OnwardOutcome, Outcome, QueuedCall, Settings, Shed,
};
use bramleymount::policy::route::{AttemptReport, Table, Target};
use tokio::time::Instant;

const LEFT: Duration = Duration::from_secs(5);
const HIGH: usize = 0;
const LOW: usize = 2;
/// Between two calls to the last service.
const GAP: Duration = Duration::from_millis(10);

fn call(token: u64, rank: usize, now: Instant) -> QueuedCall {
    let root = RootId::new(u128::from(token));
    QueuedCall {
        token: CallToken(token),
        priority: Priority::new(ClassRank::new(rank), Depth::new(0), root),
        workspace: None,
        deadline: now + LEFT,
        expires: now + LEFT,
        may_wait: true,
    }
}

fn guard(now: Instant) -> Admission {
    let settings = Settings {
        slots: Slots::new(50),
        cold: false,
        protected: Some(ClassRank::new(HIGH)),
    };
    Admission::new(now, settings)
}

/// Sends a guard that takes ten calls a second a hundred of a low class, and returns
/// what it tells then.
fn overrun(now: &mut Instant) -> GuardNews {
    let mut deep = guard(*now);
    let rate = Rate::per_second(10.0);
    deep.record_rate(*now, *now, NamedRate::Some(rate));
    for token in 0..300 {
        *now += GAP;
        let (decision, mut events) = deep.arrive(*now, call(token, LOW, *now));
        if decision == Decision::Start {
            events.push(Event::Start(CallToken(token)));
        }
        events.extend(deep.expire(*now));
        for event in events {
            if let Event::Start(token) = event {
                deep.finish(*now, token, Outcome::Answered);
            }
        }
    }
    let run = RunId::new(1);
    GuardNews {
        told: Some(Told {
            run,
            rate: Some(rate),
            leaving: false,
        }),
        ..deep.status(*now)
    }
}

/// The entry beside a server above, which has heard from both servers of the last
/// service.
fn entry(now: Instant, news: GuardNews) -> Table {
    let instance = |n| {
        let address = SocketAddr::from(([10, 0, 0, 1], n));
        Instance::new(address, StartStamp::new(1, 0))
    };
    let centre = || "near".parse().expect("a name");
    let mut table = Table::new(centre());
    let target = |n| Target::new(instance(n), centre(), Slots::new(50));
    table.update(vec![target(1), target(2)]);
    for n in [1, 2] {
        table.record_sent(instance(n));
        table.report(now, instance(n), AttemptReport::Responded(news));
    }
    table
}

#[test]
fn trees_that_fail_below_are_refused_above() {
    let mut now = Instant::now();
    let news = overrun(&mut now);
    assert!(Reason::Shed(Shed::Limited).is_overload());
    let demand = entry(now, news).demand(now);
    let mut above = guard(now);
    for token in 0..20 {
        let (decision, _) = above.arrive(now, call(token, LOW, now));
        if decision != Decision::Start {
            continue;
        }
        let met = OnwardOutcome {
            service: "last".parse().expect("a name"),
            demand,
            refused: true,
            failed: true,
        };
        above.record_onward(now, CallToken(token), &[met], false);
        above.finish(now, CallToken(token), Outcome::Failed);
    }
    let calls = 100..200;
    let decide = |above: &mut Admission, rank| {
        let refused = calls.clone().filter(|token| {
            let (decision, _) = above.arrive(now, call(*token, rank, now));
            above.finish(now, CallToken(*token), Outcome::Answered);
            decision == Decision::Shed(Shed::Downstream)
        });
        refused.count()
    };
    let low = decide(&mut above, LOW);
    assert!(
        low > 50,
        "{low} of 100 refused before they use the server above"
    );
    assert_eq!(decide(&mut above, HIGH), 0);
}
