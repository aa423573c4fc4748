//! Plays a day of a service call graph, with the daemons as processes on loopback.
//!
//! Callers, backend servers and the store run in this process. Planned stops must lose
//! no request and no call, also those that servers make through their own VM's daemon.
//!
//! `cargo build --release && cargo run --release --example day -- --seed 7`

mod check;
mod plan;
mod record;
mod relay;
#[allow(dead_code, missing_docs, unreachable_pub)]
#[path = "../../tests/support/rows.rs"]
mod rows;
mod sender;
mod server;
mod site;
mod vm;

use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use argh::FromArgs;
use bramleymount::emulator::free_address_on;
use bramleymount::web::HttpListener;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

use plan::{draw_plan, play};
use record::Record;
use rows::RowsStandIn;
use sender::run_callers;
use site::Site;
use vm::Vm;

/// Time for the daemons to discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after the traffic for requests that are under way.
const END_TIME: Duration = Duration::from_secs(6);
/// One VM in this number uses the part of the store that goes away.
const SECOND_STORE_SHARE: usize = 3;

/// Plays a day with planned work and checks that nothing is lost.
#[derive(FromArgs)]
struct Args {
    /// the site file (default: the project's own)
    #[argh(option, default = "PathBuf::from(\"examples/day/site.yaml\")")]
    site: PathBuf,
    /// the seed that the plan is drawn from (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how long callers send, in seconds (default 30)
    #[argh(option, default = "30.0")]
    seconds: f64,
    /// factor of the site's rates (default 1)
    #[argh(option, default = "1.0")]
    load: f64,
    /// how long servers read nothing after each stop, in seconds (default 0)
    #[argh(option, default = "0.0")]
    late: f64,
    /// share of runs that go on after their connection has closed (default 0.2)
    #[argh(option, default = "0.2")]
    stubborn: f64,
    /// share of answers of the last services that are sent once more, before the next
    /// answer on their connection (default 0)
    #[argh(option, default = "0.0")]
    extra: f64,
    /// the daemon's program (default: the one built beside this)
    #[argh(option)]
    daemon: Option<PathBuf>,
}

/// All that takes part in the day.
struct World {
    site: Site,
    vms: Vec<Vm>,
    record: Record,
    random: Mutex<SmallRng>,
    next_id: AtomicU64,
    /// Until when servers read nothing.
    late_until: Mutex<Option<Instant>>,
    /// Share of runs that go on after their connection has closed.
    stubborn: f64,
    /// Share of answers of the last services that are sent once more.
    extra: f64,
    extra_answers: AtomicUsize,
    store: Arc<RowsStandIn>,
    second_store: SocketAddr,
    second_listener: Mutex<Option<HttpListener>>,
    version: AtomicU64,
    failures: AtomicUsize,
}

impl World {
    fn draw(&self, range: Range<f64>) -> f64 {
        self.random.lock().random_range(range)
    }

    fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a VM of the zone that is ready, or any of the zone if none is.
    fn choose_vm(&self, zone: &str) -> usize {
        let mut known: Vec<usize> = (0..self.vms.len()).collect();
        known.retain(|vm| *self.vms[*vm].place.zone == *zone);
        let is_ready = |vm: &usize| self.vms[*vm].is_ready.load(Ordering::Relaxed);
        let ready: Vec<usize> = known.iter().copied().filter(is_ready).collect();
        let vms = if ready.is_empty() { known } else { ready };
        let chosen = vms.choose(&mut *self.random.lock()).copied();
        chosen.unwrap_or_default()
    }

    fn publish_version(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let config = self.site.config_json(version);
        self.store.put("op", "config", &config);
    }

    fn fail(&self, failure: &str) {
        println!("{failure}");
        self.failures.fetch_add(1, Ordering::Relaxed);
    }
}

fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(play_day(&args))
}

/// Returns the path of the daemon built into the same target directory.
fn default_daemon_path() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dir = own.ancestors().nth(2).unwrap_or(Path::new("."));
    Ok(dir.join("bramleymountd"))
}

async fn play_day(args: &Args) -> eyre::Result<ExitCode> {
    let site = Site::read(&args.site)?;
    let binary = args.daemon.clone().map_or_else(default_daemon_path, Ok)?;
    let name = format!("day-{}-{}", args.seed, std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir)?;
    println!("seed {}, logs in {}", args.seed, dir.display());
    let first_store = free_address_on(Ipv4Addr::new(127, 31, 0, 1).into())?;
    let second_store = free_address_on(Ipv4Addr::new(127, 31, 0, 2).into())?;
    let (store, _first_listener) = RowsStandIn::start(first_store).await;
    let second_listener = Mutex::new(Some(store.listen(second_store).await));

    let mut vms = Vec::new();
    for (index, place) in site.vms.iter().enumerate() {
        let is_second = index % SECOND_STORE_SHARE == 1;
        let store = if is_second { second_store } else { first_store };
        vms.push(Vm::new(index, place, &site, store, (&binary, &dir))?);
    }
    let world = Arc::new(World {
        site,
        vms,
        record: Record::new(),
        random: Mutex::new(SmallRng::seed_from_u64(args.seed)),
        next_id: AtomicU64::new(0),
        late_until: Mutex::default(),
        stubborn: args.stubborn,
        extra: args.extra,
        extra_answers: AtomicUsize::new(0),
        store,
        second_store,
        second_listener,
        version: AtomicU64::new(0),
        failures: AtomicUsize::new(0),
    });
    world.publish_version();
    let mut listeners = Vec::new();
    for (index, vm) in world.vms.iter().enumerate() {
        if !vm.place.added {
            vm.start()?;
        }
        listeners.push(server::start(&world, index).await?);
        let world = Arc::clone(&world);
        tokio::spawn(async move {
            let vm = &world.vms[index];
            let slots = world.site.services[&vm.place.service].slots;
            vm.attend(slots).await;
        });
    }
    sleep(SETTLE_TIME).await;
    run_traffic(args, &world).await;
    Ok(conclude(&world))
}

/// Sends the traffic and plays the plan beside it, until both have ended.
async fn run_traffic(args: &Args, world: &Arc<World>) {
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(args.seconds);
    for traffic in &world.site.traffic {
        let total: f64 = traffic.mix.values().sum();
        for (class, weight) in &traffic.mix {
            let rate = args.load * traffic.rate * weight / total;
            let names = (traffic.zone.clone(), class.clone());
            tokio::spawn(run_callers(Arc::clone(world), names, rate, end));
        }
    }
    let plan = draw_plan(args.seed, args.seconds, &world.site);
    play(world, plan, start, Duration::from_secs_f64(args.late)).await;
    sleep_until(end.max(Instant::now()) + END_TIME).await;
    let lost = check::report(world);
    if lost > 0 {
        world.fail(&format!("LOST: {lost} requests and calls"));
    }
}

fn conclude(world: &World) -> ExitCode {
    for (index, vm) in world.vms.iter().enumerate() {
        if vm.has_ended() {
            world.fail(&format!("vm {index} has ended by itself"));
        }
    }
    let extra_answers = world.extra_answers.load(Ordering::Relaxed);
    println!("{extra_answers} answers sent once more");
    if world.extra > 0.0 && extra_answers == 0 {
        world.fail("no answer was sent once more");
    }
    let failures = world.failures.load(Ordering::Relaxed);
    println!("{failures} broken promises");
    ExitCode::from(u8::from(failures > 0))
}
