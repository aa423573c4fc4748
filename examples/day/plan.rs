//! The plan of a day, drawn from its seed: stops, added VMs, versions and the store.

use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::HttpListener;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::World;

/// Seconds from the start of the traffic to the first stop.
const FIRST_STOP_S: f64 = 3.0;
/// Seconds between two stops of a round.
const STOP_GAP_S: std::ops::Range<f64> = 1.0..1.3;
/// Seconds from the last stop of a round to the next round, beyond the grace.
const ROUND_GAP_S: f64 = 2.0;
/// Share of the VMs that a round stops.
const ROUND_SHARE: f64 = 0.45;
/// Seconds between two versions of the configuration.
const VERSION_GAP_S: std::ops::Range<f64> = 1.0..6.0;
/// Seconds for which a part of the store refuses connections.
const STORE_AWAY_S: std::ops::Range<f64> = 2.0..9.0;
/// Seconds between two such times.
const STORE_GAP_S: std::ops::Range<f64> = 5.0..9.0;
/// Time beyond the grace after which a stop is ended by SIGKILL.
const KILL_SLACK: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// SIGTERM and another start.
    Stop(usize),
    /// The first start of an added VM.
    Add(usize),
    NewVersion,
    /// The store refuses the connections of one VM in three.
    StoreAway,
    StoreBack,
}

/// Events with seconds since the start of the traffic, in order.
pub(crate) type Plan = Vec<(f64, Event)>;

/// Draws up a plan for `length` seconds. The VMs from `first_added` on are added.
pub(crate) fn draw_plan(
    seed: u64,
    length: f64,
    vms: usize,
    first_added: usize,
    grace_s: f64,
) -> Plan {
    let mut random = StdRng::seed_from_u64(seed);
    let mut plan = Plan::new();
    for vm in first_added..vms {
        let at = random.random_range(0.0..FIRST_STOP_S);
        plan.push((at, Event::Add(vm)));
    }
    let mut at = FIRST_STOP_S;
    while at < length {
        let mut order: Vec<usize> = (0..vms).collect();
        order.shuffle(&mut random);
        let count = (vms as f64 * ROUND_SHARE).ceil() as usize;
        for vm in order.into_iter().take(count) {
            if at < length {
                plan.push((at, Event::Stop(vm)));
            }
            at += random.random_range(STOP_GAP_S);
        }
        at += grace_s + ROUND_GAP_S;
    }
    let mut at = random.random_range(VERSION_GAP_S);
    while at < length {
        plan.push((at, Event::NewVersion));
        at += random.random_range(VERSION_GAP_S);
    }
    let mut at = random.random_range(STORE_GAP_S);
    while at < length {
        plan.push((at, Event::StoreAway));
        at += random.random_range(STORE_AWAY_S);
        plan.push((at, Event::StoreBack));
        at += random.random_range(STORE_GAP_S);
    }
    plan.sort_by(|a, b| a.0.total_cmp(&b.0));
    plan
}

/// Plays a plan that begins at `start`, until all stops have ended.
pub(crate) async fn play(world: &Arc<World>, plan: &Plan, start: Instant, late: Duration) {
    let mut stops = JoinSet::new();
    for (at, event) in plan {
        sleep_until(start + Duration::from_secs_f64(*at)).await;
        println!("{at:7.2} {event:?}");
        match *event {
            Event::Stop(vm) => {
                stops.spawn(stop(Arc::clone(world), vm));
                *world.late_until.lock() = Some(Instant::now() + late);
            }
            Event::Add(vm) => world.note(world.vms[vm].start()),
            Event::NewVersion => world.publish_version(),
            Event::StoreAway => *world.second_listener.lock() = None,
            Event::StoreBack => {
                let listener = world.store.listen(world.second_store).await;
                *world.second_listener.lock() = Some(listener);
            }
        }
    }
    while stops.join_next().await.is_some() {}
}

/// The listener of a part of the store, while it accepts connections.
pub(crate) type StoreListener = Mutex<Option<HttpListener>>;

async fn stop(world: Arc<World>, vm: usize) {
    let grace = world.site.grace();
    match world.vms[vm].restart(grace + KILL_SLACK).await {
        Ok(Some(took)) if took <= grace => {}
        Ok(Some(took)) => world.fail(format!(
            "LOST: vm {vm} took {took:?} of a grace of {grace:?}"
        )),
        Ok(None) => world.fail(format!(
            "LOST: vm {vm} did not stop in its grace of {grace:?}"
        )),
        Err(e) => world.fail(format!("vm {vm}: {e}")),
    }
}
