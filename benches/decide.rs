//! Cost of the three decisions on a call: admission, routing and retry accounting.

use std::hint::black_box;
use std::time::Instant as Clock;

use bramleymount::model::{
    CentreName, ClassRank, Depth, GuardStatus, Instance, Priority, Retries, RootId, Slots,
    StartStamp,
};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Outcome, QueuedCall, Settings,
};
use bramleymount::policy::retry::RetryAccount;
use bramleymount::policy::route::{AttemptReport, CallNeeds, Pick, Table, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const CALL_COUNT: u64 = 200_000;
const SERVICE_COUNT: usize = 210;

fn main() {
    println!("servers threads ns_per_call");
    for servers in [10, 100, 1000] {
        for threads in [1, 8] {
            let nanos: Vec<f64> = std::thread::scope(|scope| {
                let handles: Vec<_> = (0..threads)
                    .map(|seed| scope.spawn(move || measure(servers, seed)))
                    .collect();
                handles
                    .into_iter()
                    .map(|h| h.join().expect("thread finishes"))
                    .collect()
            });
            let mean = nanos.iter().sum::<f64>() / nanos.len() as f64;
            println!("{servers:>7} {threads:>7} {mean:>11.0}");
        }
    }
}

/// Returns the nanoseconds per call over tables of `SERVICE_COUNT` services.
fn measure(servers: usize, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let now = Instant::now();
    let mut tables: Vec<Table> = (0..SERVICE_COUNT).map(|_| build_table(servers)).collect();
    let settings = Settings {
        slots: Slots::new(100),
        cold: false,
        protected: Some(ClassRank::new(0)),
    };
    let mut admission = Admission::new(now, settings);
    let start = Clock::now();
    for call in 0..CALL_COUNT {
        let root = RootId::new(rng.random());
        let priority = Priority::new(ClassRank::new(1), Depth::new(1), root);
        let mut account = RetryAccount::new(Retries::new(3));
        let grant = account.grant();
        let table = &mut tables[call as usize % SERVICE_COUNT];
        let needs = CallNeeds {
            level: priority.level(),
            protected: false,
            avoid: None,
        };
        if let Pick::Target(target) = table.choose(now, needs, &mut rng) {
            table.report(
                now,
                target,
                AttemptReport::Responded(GuardStatus::default()),
            );
        }
        let token = CallToken(call);
        let deadline = now + std::time::Duration::from_secs(1);
        let queued_call = QueuedCall {
            token,
            priority,
            workspace: None,
            deadline,
            expires: deadline,
            may_wait: true,
        };
        if admission.arrive(now, queued_call).0 == Decision::Start {
            black_box(admission.finish(now, token, Outcome::Answered));
        }
        account.reclaim(grant.id, grant.retries);
        black_box(account.close());
    }
    start.elapsed().as_nanos() as f64 / CALL_COUNT as f64
}

fn build_table(servers: usize) -> Table {
    let own: CentreName = "own".parse().expect("valid name");
    let mut table = Table::new(own.clone());
    let targets = (0..servers).map(|n| {
        let address = format!("10.0.{}.{}:1", n / 250, n % 250 + 1)
            .parse()
            .expect("valid address");
        let instance = Instance::new(address, StartStamp::new(1, 1));
        Target::new(instance, own.clone(), Slots::new(70))
    });
    table.update(targets.collect());
    table
}
