//! Call trees whose last service has requested a rate.
//!
//! Load: all servers of a downstream service have requested a rate, and more call trees
//! need the service than that. Guards against trees that use the servers of earlier
//! services before they fail downstream; less important ones are refused first.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::call::Reason;
use bramleymount::model::{
    ClassRank, Depth, GuardStatus, Instance, Priority, Rate, RelayedNotice, RequestedRate, RootId,
    RunId, Slots, StartStamp,
};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event, OnwardOutcome, Outcome, QueuedCall, Settings, Shed,
};
use bramleymount::policy::route::{AttemptReport, Table, Target};
use tokio::time::Instant;

const TIME_LEFT: Duration = Duration::from_secs(5);
const HIGH: usize = 0;
const LOW: usize = 2;
/// Time between two calls to the last service.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

fn call(token: u64, rank: usize, now: Instant) -> QueuedCall {
    let root = RootId::new(u128::from(token));
    QueuedCall {
        token: CallToken(token),
        priority: Priority::new(ClassRank::new(rank), Depth::new(0), root),
        workspace: None,
        deadline: now + TIME_LEFT,
        expires: now + TIME_LEFT,
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

/// Sends a guard that is limited to ten calls a second a hundred calls a second of a
/// low class, and returns its status afterwards.
fn overload(now: &mut Instant) -> GuardStatus {
    let mut last_guard = guard(*now);
    let rate = Rate::per_second(10.0);
    last_guard.record_rate(*now, *now, RequestedRate::Some(rate));
    for token in 0..300 {
        *now += CALL_INTERVAL;
        let (decision, mut events) = last_guard.arrive(*now, call(token, LOW, *now));
        if decision == Decision::Start {
            events.push(Event::Start(CallToken(token)));
        }
        events.extend(last_guard.expire(*now));
        for event in events {
            if let Event::Start(token) = event {
                last_guard.finish(*now, token, Outcome::Answered);
            }
        }
    }
    let run = RunId::new(1);
    GuardStatus {
        notice: Some(RelayedNotice {
            run,
            rate: Some(rate),
            leaving: false,
        }),
        ..last_guard.status(*now)
    }
}

/// The route table of the entry beside an upstream server, which has the status of both
/// servers of the last service.
fn entry(now: Instant, news: GuardStatus) -> Table {
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
fn trees_that_fail_downstream_are_refused_upstream() {
    let mut now = Instant::now();
    let news = overload(&mut now);
    assert!(Reason::Shed(Shed::Limited).is_overload());
    let demand = entry(now, news).demand(now);
    let mut upstream = guard(now);
    for token in 0..20 {
        let (decision, _) = upstream.arrive(now, call(token, LOW, now));
        if decision != Decision::Start {
            continue;
        }
        let outcome = OnwardOutcome {
            service: "last".parse().expect("a name"),
            demand,
            refused: true,
            failed: true,
        };
        upstream.record_onward(now, CallToken(token), &[outcome], false);
        upstream.finish(now, CallToken(token), Outcome::Failed);
    }
    let calls = 100..200;
    let decide = |upstream: &mut Admission, rank| {
        let refused = calls.clone().filter(|token| {
            let (decision, _) = upstream.arrive(now, call(*token, rank, now));
            upstream.finish(now, CallToken(*token), Outcome::Answered);
            decision == Decision::Shed(Shed::Downstream)
        });
        refused.count()
    };
    let low = decide(&mut upstream, LOW);
    assert!(
        low > 50,
        "{low} of 100 refused before they use the server upstream"
    );
    assert_eq!(decide(&mut upstream, HIGH), 0);
}
