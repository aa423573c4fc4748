//! Soak test: runs the real daemons as processes on loopback and injects faults.
//!
//! The store, the backend servers and the callers run in this process. What
//! callers and backend servers observe is checked against the promises.
//!
//! `cargo build --release && cargo run --release --example soak -- --seed 7`

mod backend;
mod caller;
mod calls;
mod check;
mod estate;
mod faults;
mod notices;
mod proxy;
mod raw_callers;
mod record;
#[allow(dead_code, missing_docs, unreachable_pub)]
#[path = "../../tests/support/rows.rs"]
mod rows;
mod sender;
mod vm;

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
use check::{Violation, check_promises, count_outcomes, count_served};
use estate::{Addresses, CENTRE_COUNT};
use faults::{World, inject_faults, lapse_store};
use proxy::Proxy;
use raw_callers::{Traffic, run_raw_caller};
use record::Record;
use rows::RowsStandIn;
use vm::Vm;

/// Number of sequential callers of each VM's daemon.
const CALLERS_PER_VM: usize = 4;
/// Number of VMs up to which each caller sends as much as it can.
const FULL_LOAD_VMS: f64 = 9.0;
/// Time for the daemons to discover each other, and to recover after the last fault.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The window after recovery in which at least `MIN_SERVED_SHARE` must be served.
const RECOVERY_WINDOW: Duration = Duration::from_secs(2);
/// Minimum share of requests served in `RECOVERY_WINDOW`.
const MIN_SERVED_SHARE: f64 = 0.9;
/// Number of broken promises of each kind that are printed in detail.
const MAX_PRINTED: usize = 2;

/// Runs real daemons under random faults and checks what is promised.
#[derive(FromArgs)]
struct Args {
    /// the seed that the faults are drawn from (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how long faults are injected, in minutes (default 1)
    #[argh(option, default = "1.0")]
    minutes: f64,
    /// the number of VMs in each data centre (default 3)
    #[argh(option, default = "3")]
    vms_per_centre: usize,
    /// send planned stops a single signal each
    #[argh(switch)]
    single_signals: bool,
    /// inject only planned work and faults of the store
    #[argh(switch)]
    planned: bool,
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

/// Returns the path of the daemon built into the same target directory.
fn default_daemon_path() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dir = own.ancestors().nth(2).unwrap_or(Path::new("."));
    Ok(dir.join("bramleymountd"))
}

async fn start_world(args: &Args, dir: &Path, record: &Arc<Record>) -> eyre::Result<World> {
    let binary = args.daemon.clone().map_or_else(default_daemon_path, Ok)?;
    // No connection to another address takes the port while the store is down.
    let address = free_address_on(Ipv4Addr::new(127, 10, 0, 1).into())?;
    let (store, listener) = RowsStandIn::start(address).await;
    let mut world = World {
        vms: Vec::new(),
        proxies: Vec::new(),
        backends: Vec::new(),
        store,
        store_address: address,
        store_listener: Mutex::new(Some(listener)),
        versions: Mutex::default(),
        store_faults: Mutex::default(),
        departures: Mutex::default(),
        fault_log: Mutex::default(),
        failures: Mutex::default(),
    };
    world.publish_version();
    for vm in 0..CENTRE_COUNT * args.vms_per_centre {
        let addresses = Addresses::allocate(vm)?;
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
    let world = Arc::new(start_world(args, &dir, &record).await?);
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    tokio::time::sleep(SETTLE_TIME).await;
    let slowness = (world.vms.len() as f64 / FULL_LOAD_VMS).max(1.0);
    for (vm, daemon) in world.vms.iter().enumerate() {
        for index in 0..CALLERS_PER_VM {
            let record = Arc::clone(&record);
            let caller = Caller::new(vm, index, args.seed, &daemon.addresses, record);
            let caller = caller.slow_down(slowness);
            callers.spawn(caller.run(stopped.clone()));
        }
        for traffic in [Traffic::Pipelined, Traffic::Downloads] {
            let target = (vm, daemon.addresses.callers);
            let record = Arc::clone(&record);
            callers.spawn(run_raw_caller(traffic, target, record, stopped.clone()));
        }
    }
    let end = Instant::now() + Duration::from_secs_f64(args.minutes * 60.0);
    let mut restarters = JoinSet::new();
    for vm in 0..world.vms.len() {
        if args.planned {
            break;
        }
        let (world, record) = (Arc::clone(&world), Arc::clone(&record));
        let addresses = world.vms[vm].addresses;
        let deadly_caller = Caller::new(vm, CALLERS_PER_VM, args.seed, &addresses, record);
        callers.spawn(deadly_caller.repeat_deadly_request(stopped.clone(), end));
        restarters.spawn(async move { world.restart_crashed(vm).await });
    }
    inject_faults(&world, args, end).await;
    lapse_store(&world, args.seed).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let recovery_start = Instant::now();
    tokio::time::sleep(RECOVERY_WINDOW).await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let mut violations = check_promises(&world, &record);
    let (good, all) = count_served(&record, recovery_start, recovery_start + RECOVERY_WINDOW);
    if is_recovery_failed(good, all) {
        violations.push(Violation {
            rule: "RECOVER",
            id: String::new(),
            at: recovery_start,
            detail: format!("{good} of {all} are served after the last fault"),
        });
    }
    let down = world.vms.iter().filter(|vm| !vm.is_running()).count();
    report(args, &world, &record, start, &violations);
    if is_recovery_failed(good, all) {
        for (end, count) in
            count_outcomes(&record, recovery_start, recovery_start + RECOVERY_WINDOW)
        {
            println!("  {count} {end}");
        }
    }
    println!("{good} of {all} served after the last fault, {down} daemons down");
    let failed = !violations.is_empty() || !world.failures.lock().is_empty() || down > 0;
    if failed {
        println!("logs: {}", dir.display());
        return Ok(ExitCode::FAILURE);
    }
    std::fs::remove_dir_all(&dir)?;
    Ok(ExitCode::SUCCESS)
}

fn is_recovery_failed(good: usize, all: usize) -> bool {
    (good as f64) < all as f64 * MIN_SERVED_SHARE
}

/// Prints the number of faults and the broken promises, with the faults near them.
fn report(args: &Args, world: &World, record: &Record, start: Instant, violations: &[Violation]) {
    let (good, all) = count_served(record, start, Instant::now());
    let fault_log = world.fault_log.lock();
    println!(
        "seed {}: {} faults, {good} of {all} requests served, {} promises broken",
        args.seed,
        fault_log.len(),
        violations.len() + world.failures.lock().len()
    );
    let since = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    for what in world.failures.lock().iter() {
        println!("BROKEN {what}");
    }
    let mut kinds: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for violation in violations {
        *kinds
            .entry((violation.rule, &violation.detail))
            .or_default() += 1;
    }
    for ((rule, detail), count) in &kinds {
        println!("{count} of {rule}: {detail}");
    }
    let mut printed: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for violation in violations {
        let printed = printed
            .entry((violation.rule, &violation.detail))
            .or_default();
        *printed += 1;
        if *printed > MAX_PRINTED {
            continue;
        }
        println!(
            "BROKEN {} {} at {:.2}: {}",
            violation.rule,
            violation.id,
            since(violation.at),
            violation.detail
        );
        if let Some(request) = record.requests.lock().get(&violation.id) {
            println!(
                "  vm {} {} ended {:?}",
                request.vm,
                request.path,
                request.outcome.as_ref().map(|(at, end)| (since(*at), end))
            );
            for run in &request.runs {
                println!(
                    "  ran at vm {} at {:.2}, ended {:?}, rejected {}",
                    run.vm,
                    since(run.at),
                    run.end_time.map(since),
                    run.rejected
                );
            }
        }
        let near = fault_log
            .iter()
            .filter(|(at, _)| (since(*at) - since(violation.at)).abs() < 5.0);
        for (at, fault) in near {
            println!("  step at {:.2}: {fault}", since(*at));
        }
    }
}
