//! Time that one daemon spends on the members of its estate, by their number.

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

/// Number of data centres that members are spread over.
const CENTRE_COUNT: usize = 5;
/// Number of calls of which the mean is taken.
const ROUND_COUNT: u32 = 200;
/// Number of members in one message.
const PAGE_SIZE: usize = 256;

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
    let member_at = |number: usize, incarnation: u64| {
        member(number, incarnation, services[number % services.len()])
    };
    let now = Instant::now();
    let mut view = View::new(now, member_at(0, 1));
    view.merge_all(now, (1..members).map(|number| member_at(number, 1)));
    let mut incarnation = 1;
    let change = mean_micros(|| {
        incarnation += 1;
        view.merge(now, member_at(members - 1, incarnation));
    });
    let routes = TargetTables::new(centre(0), None, Balance::default());
    [
        change,
        mean_micros(|| {
            black_box(neighbours(&view));
        }),
        mean_micros(|| {
            black_box(is_delegate(&view));
        }),
        mean_micros(|| {
            black_box(view.page(ChangeCount::default(), PAGE_SIZE, &[]));
        }),
        mean_micros(|| routes.update(estate, &view)),
        mean_micros(|| {
            black_box(HashRing::new(&view));
        }),
    ]
}

/// Returns the mean duration of a call, in microseconds.
fn mean_micros(mut call: impl FnMut()) -> f64 {
    let start = Clock::now();
    for _ in 0..ROUND_COUNT {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUND_COUNT)
}

fn centre(number: usize) -> CentreName {
    let name = format!("dc-{}", number % CENTRE_COUNT);
    name.parse().expect("valid name")
}

fn member(number: usize, incarnation: u64, service: &ServiceName) -> Member {
    let address = format!("10.{}.{}.1:8300@1", number / 250, number % 250);
    Member {
        instance: address.parse().expect("valid instance"),
        centre: centre(number),
        service: service.clone(),
        incarnation: Incarnation(incarnation),
        state: MemberState::Serving,
        slots: None,
    }
}
