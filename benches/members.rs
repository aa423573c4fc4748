//! Work of one daemon for the members of its estate, by their number.

use std::hint::black_box;
use std::path::Path;
use std::time::Instant as Clock;

use bramleymount::declare::Estate;
use bramleymount::emulator::Site;
use bramleymount::model::{CentreName, ServiceName};
use bramleymount::policy::member::{
    ChangeCount, Incarnation, Member, MemberState, View, is_delegate, neighbours,
};
use bramleymount::policy::rate::HashRing;
use bramleymount::policy::route::Balance;
use bramleymount::tables::TargetTables;
use tokio::time::Instant;

const CENTRES: usize = 5;
const ROUNDS: u32 = 200;
/// Members told in one message.
const PAGE: usize = 256;

fn main() -> eyre::Result<()> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    let estate = Site::load_scaled(&dir, 2, 1.0)?;
    println!("members change_us neighbours_us delegate_us page_us routes_us ring_us");
    for members in [30, 100, 300, 1000, 5300] {
        let columns = measure(&estate, members);
        let columns = columns.map(|column| format!("{column:>8.2}"));
        println!("{members:>7} {}", columns.join(" "));
    }
    Ok(())
}

fn measure(estate: &Estate, members: usize) -> [f64; 6] {
    let services: Vec<&ServiceName> = estate.services.keys().collect();
    let of = |number: usize, beat: u64| member(number, beat, services[number % services.len()]);
    let now = Instant::now();
    let mut view = View::new(now, of(0, 1));
    view.merge_all(now, (1..members).map(|number| of(number, 1)));
    let mut beat = 1;
    let change = micros(|| {
        beat += 1;
        view.merge(now, of(members - 1, beat));
    });
    let routes = TargetTables::new(centre(0), None, Balance::default());
    [
        change,
        micros(|| {
            black_box(neighbours(&view));
        }),
        micros(|| {
            black_box(is_delegate(&view));
        }),
        micros(|| {
            black_box(view.page(ChangeCount::default(), PAGE, &[]));
        }),
        micros(|| routes.update(estate, &view)),
        micros(|| {
            black_box(HashRing::new(&view));
        }),
    ]
}

/// Returns the mean time of a call, in microseconds.
fn micros(mut call: impl FnMut()) -> f64 {
    let start = Clock::now();
    for _ in 0..ROUNDS {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn centre(number: usize) -> CentreName {
    let name = format!("dc-{}", number % CENTRES);
    name.parse().expect("a name")
}

fn member(number: usize, beat: u64, service: &ServiceName) -> Member {
    let address = format!("10.{}.{}.1:8300@1", number / 250, number % 250);
    Member {
        instance: address.parse().expect("an instance"),
        centre: centre(number),
        service: service.clone(),
        incarnation: Incarnation(beat),
        state: MemberState::Serving,
        slots: None,
    }
}
