//! Runs the estate of Nordlysvakt in one process through an overload and faults.
//!
//! `cargo run --release --example demo -- --scenario surge --seed 7 --json`

mod report;
mod scenario;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use bramleymount::config::{LogFormat, LogLevel, init_log};
use bramleymount::emulator::{Behaviour, SampleLog, Site, run_workload};
use bramleymount::model::ServiceName;
use eyre::WrapErr;
use tokio::time::Instant;

use report::Report;
use scenario::{Phase, RequestKind, Scenario, request_kinds};

/// Runs an estate of daemons through a surge, a slowed service, a drained
/// server and a data centre that is cut off.
#[derive(FromArgs)]
struct Args {
    /// all, steady, surge, slow, drain or cut; all if left out
    #[argh(option, default = "Scenario::All")]
    scenario: Scenario,

    /// seed of the random numbers; 1 if left out
    #[argh(option, default = "1")]
    seed: u64,

    /// slots of a server as a share of those in examples/nordlysvakt
    #[argh(option, default = "0.1")]
    scale: f64,

    /// print one JSON object at the end
    #[argh(switch)]
    json: bool,
}

fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    init_log(LogLevel::Error, LogFormat::Text)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start threads")?;
    let is_correct = runtime.block_on(run(&args))?;
    // The daemons need no shutdown, since the process exits.
    runtime.shutdown_background();
    Ok(if is_correct {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn run(args: &Args) -> eyre::Result<bool> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    let estate = Site::load_scaled(&dir, 2, args.scale)?;
    let site = Site::start(estate, behaviour).await?;
    print_progress(
        args,
        &format!("{} daemons in 2 data centres", site.servers.len()),
    );
    let phases = args.scenario.phases();
    let start = Instant::now();
    let total: Duration = phases.iter().map(|p| p.length).sum();
    let workloads = start_workloads(args, &site, &phases, start);
    run_phases(args, &site, &phases, start).await;
    tokio::time::sleep_until(start + total).await;
    let mut classes = Vec::new();
    for (kind, samples, task) in workloads {
        task.await?;
        classes.push((kind, samples));
    }
    // The last requests may still be in progress.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let report = Report::new(&site, &classes, &phases, start);
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(report.is_correct())
}

fn print_progress(args: &Args, text: &str) {
    if !args.json {
        println!("{text}");
    }
}

fn behaviour(service: &ServiceName) -> Behaviour {
    let service_time = match service.as_str() {
        "station-status" => Duration::from_millis(10),
        _ => Duration::from_millis(20),
    };
    Behaviour {
        service_time,
        answer_bytes: 1024,
        onward_calls: Vec::new(),
    }
}

type RunningWorkloads = Vec<(RequestKind, Arc<SampleLog>, tokio::task::JoinHandle<()>)>;

fn start_workloads(args: &Args, site: &Site, phases: &[Phase], start: Instant) -> RunningWorkloads {
    let entries = Arc::new(site.servers.iter().map(|s| s.callers).collect::<Vec<_>>());
    let total: Duration = phases.iter().map(|p| p.length).sum();
    request_kinds(args.scale)
        .into_iter()
        .enumerate()
        .map(|(index, kind)| {
            let samples = Arc::new(SampleLog::default());
            let phases = phases.to_vec();
            let base = kind.rate;
            let rate = move |now: Instant| {
                let factor = Phase::at(&phases, now - start).map_or(1.0, |p| p.demand_factor);
                base * factor
            };
            let task = tokio::spawn(run_workload(
                kind.workload.clone(),
                Arc::clone(&entries),
                rate,
                start + total,
                args.seed * 100 + index as u64,
                Arc::clone(&samples),
            ));
            (kind, samples, task)
        })
        .collect()
}

async fn run_phases(args: &Args, site: &Site, phases: &[Phase], start: Instant) {
    let mut phase_start = start;
    for phase in phases {
        tokio::time::sleep_until(phase_start).await;
        print_progress(
            args,
            &format!(
                "{:>5.1} s  {}",
                (phase_start - start).as_secs_f64(),
                phase.name
            ),
        );
        phase.enter(site);
        phase_start += phase.length;
        tokio::time::sleep_until(phase_start).await;
        phase.leave(site);
    }
}
