//! Goodput and recovery under overload with the decisions in `policy`.
//!
//! Emulated backend servers with slots, service times and queues drive the real
//! policy objects in emulated time. Random numbers are seeded, so each run gives
//! the same results. `cargo bench --bench overload -- --json --plot F.svg`

mod measure;
mod plot;
mod scenario;
mod variant;
mod world;

use measure::RunSummary;
use scenario::Scenario;
use variant::Variant;
use world::World;

fn main() -> eyre::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let json = args.iter().any(|a| a == "--json");
    let scenario_name = option_value(&args, "--scenario");
    let variant_name = option_value(&args, "--variant");
    let seed = option_value(&args, "--seed").map_or(Ok(1), |s| s.parse())?;
    let mut summaries = Vec::new();
    if !json {
        println!("{}", RunSummary::HEADER);
    }
    for scenario in Scenario::all() {
        if scenario_name
            .as_deref()
            .is_some_and(|name| name != scenario.name)
        {
            continue;
        }
        for variant in Variant::all().into_iter().filter(|v| {
            variant_name
                .as_deref()
                .map_or(!v.ablation, |name| name == "all" || name == v.name)
        }) {
            let mut world = World::new(&scenario, variant, seed);
            world.run();
            let summary = measure::summarize(&scenario, variant, &world);
            if json {
                println!("{}", serde_json::to_string(&summary)?);
            } else {
                println!("{summary}");
            }
            summaries.push(summary);
        }
    }
    if let Some(path) = option_value(&args, "--plot") {
        plot::draw(&path, &summaries)?;
    }
    Ok(())
}

/// Returns the argument that follows `name`.
fn option_value(args: &[String], name: &str) -> Option<String> {
    let index = args.iter().position(|a| a == name)?;
    args.get(index + 1).cloned()
}
