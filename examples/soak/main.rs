//! A soak of the real programs: daemons as processes on loopback, against a
//! stand-in of the store, backend servers and callers of this process, with
//! faults from outside. What callers and backend servers see is held against
//! what is promised.
//!
//! `cargo build --release && cargo run --release --example soak -- --seed 7`

mod backend;
mod caller;
mod check;
mod estate;
mod faults;
mod pipeliner;
mod proxy;
mod record;
#[allow(dead_code, missing_docs, unreachable_pub)]
#[path = "../../tests/support/rows.rs"]
mod rows;
mod vm;
mod words;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use bramleymount::emulator::free_address_on;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use backend::Backend;
use caller::Caller;
use check::{Broken, ends, judge, served};
use estate::{Addresses, CENTRES, PER_CENTRE};
use faults::{World, play};
use pipeliner::pipeline;
use proxy::Proxy;
use record::Record;
use rows::RowsStandIn;
use vm::Vm;

/// Callers beside each VM.
const CALLERS: usize = 4;
/// Until the daemons know each other, and after the last fault.
const SETTLE: Duration = Duration::from_secs(4);
/// The time after the settling in which nearly all must be served.
const JUDGED: Duration = Duration::from_secs(2);
/// Least share that is served then.
const SERVED: f64 = 0.9;
/// Broken promises that are printed whole.
const SHOWN: usize = 10;

/// Runs real daemons under random faults and checks what is promised.
#[derive(FromArgs)]
struct Args {
    /// the seed that the faults are drawn from (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how long faults are injected, in minutes (default 1)
    #[argh(option, default = "1.0")]
    minutes: f64,
    /// the daemon's program (default: the one built beside this)
    #[argh(option)]
    daemon: Option<PathBuf>,
}

fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(soak(&args))
}

/// Returns the program that is built beside this one.
fn built() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dir = own.ancestors().nth(2).unwrap_or(Path::new("."));
    Ok(dir.join("bramleymountd"))
}

async fn world(args: &Args, dir: &Path, record: &Arc<Record>) -> eyre::Result<World> {
    let binary = args.daemon.clone().map_or_else(built, Ok)?;
    let address = free_address_on(Ipv4Addr::LOCALHOST.into())?;
    let (store, listening) = RowsStandIn::start(address).await;
    // It answers as long as the process lives.
    std::mem::forget(listening);
    let mut world = World {
        vms: Vec::new(),
        proxies: Vec::new(),
        backends: Vec::new(),
        store,
        versions: Mutex::default(),
        store_spans: Mutex::default(),
        leaving: Mutex::default(),
        steps: Mutex::default(),
        broken: Mutex::default(),
    };
    world.configure();
    for vm in 0..CENTRES * PER_CENTRE {
        let addresses = Addresses::of(vm)?;
        world
            .proxies
            .push(Proxy::start(addresses.proxy, addresses.peers).await?);
        world
            .vms
            .push(Vm::new(vm, addresses, &binary, address, dir)?);
        world.vms[vm].start()?;
        let mut backend = Backend::new(vm, addresses, Arc::clone(record));
        backend.start(false).await?;
        world.backends.push(tokio::sync::Mutex::new(backend));
    }
    Ok(world)
}

async fn soak(args: &Args) -> eyre::Result<ExitCode> {
    let name = format!("soak-{}-{}", args.seed, std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir)?;
    let record = Arc::new(Record::default());
    let start = Instant::now();
    let world = Arc::new(world(args, &dir, &record).await?);
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    tokio::time::sleep(SETTLE).await;
    for (vm, daemon) in world.vms.iter().enumerate() {
        for place in 0..CALLERS {
            let record = Arc::clone(&record);
            let caller = Caller::new(vm, place, args.seed, &daemon.addresses, record);
            callers.spawn(caller.run(stopped.clone()));
        }
        let place = (vm, daemon.addresses.callers);
        callers.spawn(pipeline(place, Arc::clone(&record), stopped.clone()));
    }
    let end = Instant::now() + Duration::from_secs_f64(args.minutes * 60.0);
    let mut keepers = JoinSet::new();
    for vm in 0..world.vms.len() {
        let (world, record) = (Arc::clone(&world), Arc::clone(&record));
        let addresses = world.vms[vm].addresses;
        let insists = Caller::new(vm, CALLERS, args.seed, &addresses, record);
        callers.spawn(insists.insist(stopped.clone(), end));
        keepers.spawn(async move { world.keep_up(vm).await });
    }
    play(&world, args.seed, end).await;
    tokio::time::sleep(SETTLE).await;
    let calm = Instant::now();
    tokio::time::sleep(JUDGED).await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let mut broken = judge(&world, &record);
    let (good, all) = served(&record, calm, calm + JUDGED);
    if bad_end(good, all) {
        broken.push(Broken {
            rule: "RECOVER",
            id: String::new(),
            at: calm,
            what: format!("{good} of {all} are served after the last fault"),
        });
    }
    let down = world.vms.iter().filter(|vm| !vm.runs()).count();
    report(args, &world, &record, start, &broken);
    if bad_end(good, all) {
        for (end, count) in ends(&record, calm, calm + JUDGED) {
            println!("  {count} {end}");
        }
    }
    println!("{good} of {all} served after the last fault, {down} daemons down");
    let bad = !broken.is_empty() || !world.broken.lock().is_empty() || down > 0;
    if bad {
        println!("logs: {}", dir.display());
        return Ok(ExitCode::FAILURE);
    }
    std::fs::remove_dir_all(&dir)?;
    Ok(ExitCode::SUCCESS)
}

fn bad_end(good: usize, all: usize) -> bool {
    (good as f64) < all as f64 * SERVED
}

/// Prints what was done and what broke.
fn report(args: &Args, world: &World, record: &Record, start: Instant, broken: &[Broken]) {
    let (good, all) = served(record, start, Instant::now());
    let steps = world.steps.lock();
    println!(
        "seed {}: {} faults, {good} of {all} requests served, {} promises broken",
        args.seed,
        steps.len(),
        broken.len() + world.broken.lock().len()
    );
    let since = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    for what in world.broken.lock().iter() {
        println!("BROKEN {what}");
    }
    let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
    for one in broken {
        *rules.entry(one.rule).or_default() += 1;
    }
    for (rule, count) in rules {
        println!("{count} of {rule}");
    }
    for one in broken.iter().take(SHOWN) {
        println!(
            "BROKEN {} {} at {:.2}: {}",
            one.rule,
            one.id,
            since(one.at),
            one.what
        );
        if let Some(sent) = record.sent.lock().get(&one.id) {
            println!(
                "  vm {} {} ended {:?}",
                sent.vm,
                sent.path,
                sent.end.as_ref().map(|(at, end)| (since(*at), end))
            );
            for run in &sent.runs {
                println!(
                    "  ran at vm {} at {:.2}, ended {:?}, rejected {}",
                    run.vm,
                    since(run.at),
                    run.ended.map(since),
                    run.rejected
                );
            }
        }
        let near = steps
            .iter()
            .filter(|(at, _)| (since(*at) - since(one.at)).abs() < 5.0);
        for (at, step) in near {
            println!("  step at {:.2}: {step}", since(*at));
        }
    }
}
