//! The plan of a day, drawn from its seed: stops, added VMs, versions and the store.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::World;
use crate::site::Site;

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

/// Draws up a plan for `length` seconds: events in order, each with the seconds since the
/// start of the traffic.
pub(crate) fn draw_plan(seed: u64, length: f64, site: &Site) -> Vec<(f64, Event)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    for (vm, _) in site.vms.iter().enumerate().filter(|(_, place)| place.added) {
        let at = random.random_range(0.0..FIRST_STOP_S);
        plan.push((at, Event::Add(vm)));
    }
    let mut at = FIRST_STOP_S;
    while at < length {
        let mut order: Vec<usize> = (0..site.vms.len()).collect();
        order.shuffle(&mut random);
        let count = (site.vms.len() as f64 * ROUND_SHARE).ceil() as usize;
        for vm in order.into_iter().take(count) {
            if at < length {
                plan.push((at, Event::Stop(vm)));
            }
            at += random.random_range(STOP_GAP_S);
        }
        at += site.grace_s + ROUND_GAP_S;
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
        plan.push((at.min(length), Event::StoreBack));
        at += random.random_range(STORE_GAP_S);
    }
    plan.sort_by(|a, b| a.0.total_cmp(&b.0));
    plan
}

/// Plays a plan that begins at `start`, until all stops have ended.
pub(crate) async fn play(
    world: &Arc<World>,
    plan: Vec<(f64, Event)>,
    start: Instant,
    late: Duration,
) {
    let mut stops = JoinSet::new();
    for (at, event) in plan {
        sleep_until(start + Duration::from_secs_f64(at)).await;
        println!("{:?}: {event:?}", world.record.now());
        match event {
            Event::Stop(vm) => {
                stops.spawn(stop(Arc::clone(world), vm));
                *world.late_until.lock() = Some(Instant::now() + late);
            }
            Event::Add(vm) => {
                if let Err(e) = world.vms[vm].start() {
                    world.fail(&format!("vm {vm}: {e}"));
                }
            }
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

async fn stop(world: Arc<World>, vm: usize) {
    let grace = world.site.grace();
    world.vms[vm].stops.lock().push(world.record.now());
    match world.vms[vm].restart(grace + KILL_SLACK).await {
        Ok(took) if took <= grace => {}
        Ok(took) => world.fail(&format!("LOST: vm {vm} took {took:?} to stop")),
        Err(e) => world.fail(&format!("vm {vm}: {e}")),
    }
}
