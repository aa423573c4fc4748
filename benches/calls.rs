//! Instructions, cache misses and bytes allocated for a call, by the way it goes.
//!
//! Counts come from `valgrind --tool=callgrind` (system package `valgrind`), so
//! they repeat to a few in a thousand on a busy machine too. The program runs
//! itself under it, once with few calls and once with many: the difference is
//! what the calls took, without start and end. Callers, backend servers and
//! daemons share the process, so the direct call is taken off each other way;
//! a call that is refused costs no backend server, so nothing is taken off it.
//!
//! `cargo bench --bench calls` prints the table; `-- --way hop --calls 100`
//! makes calls only, for other tools.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use bramleymount::web::Client;
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::Full;
use support::{one_of_each, server};

/// Size of an answer, in bytes.
const ANSWER: usize = 600;
/// Calls of the two runs that are compared.
const FEW: u32 = 100;
const MANY: u32 = 600;
/// Time that the daemons rest in the runs that are compared for rest.
const REST: Duration = Duration::from_millis(100);
/// The second-level cache that is simulated, as on a small VM.
const LAST_LEVEL: &str = "--LL=1048576,16,64";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    Local,
    Hop,
    Refused,
    Rest,
}

impl Way {
    const ALL: [Self; 5] = [
        Self::Direct,
        Self::Local,
        Self::Hop,
        Self::Refused,
        Self::Rest,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Local => "local",
            Self::Hop => "hop",
            Self::Refused => "refused",
            Self::Rest => "rest",
        }
    }
}

/// Events of one run, in the order of callgrind's summary.
type Events = Vec<f64>;

fn main() -> eyre::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let at = args.iter().position(|arg| arg == name)?;
        args.get(at + 1).cloned()
    };
    if let Some(way) = option("--way") {
        let way = Way::ALL.into_iter().find(|known| known.name() == way);
        let way = way.ok_or_else(|| eyre::eyre!("--way is direct, local, hop, refused or rest"))?;
        let calls = option("--calls").map_or(Ok(FEW), |calls| calls.parse())?;
        return make_calls(way, calls);
    }
    table()
}

/// Prints what a call takes, by way.
fn table() -> eyre::Result<()> {
    println!("way instructions l1i_misses l1d_misses last_level_misses");
    let mut direct = Events::new();
    for way in Way::ALL {
        let (few, many) = (events(way, FEW)?, events(way, MANY)?);
        let calls = f64::from(MANY - FEW);
        let mut each: Events = many
            .iter()
            .zip(&few)
            .map(|(m, f)| (m - f) / calls)
            .collect();
        match way {
            Way::Direct => direct.clone_from(&each),
            Way::Local | Way::Hop => each.iter_mut().zip(&direct).for_each(|(e, d)| *e -= d),
            Way::Refused | Way::Rest => {}
        }
        // Ir Dr Dw I1mr D1mr D1mw ILmr DLmr DLmw
        println!(
            "{} {:.0} {:.0} {:.0} {:.0}",
            way.name(),
            each[0],
            each[3],
            each[4] + each[5],
            each[6] + each[7] + each[8]
        );
    }
    Ok(())
}

/// Runs this program under callgrind and reads its summary.
fn events(way: Way, calls: u32) -> eyre::Result<Events> {
    let out = std::env::temp_dir().join(format!("calls.{}.{}", std::process::id(), way.name()));
    let status = Command::new("valgrind")
        .args(["--tool=callgrind", "--cache-sim=yes", LAST_LEVEL, "-q"])
        .arg(format!("--callgrind-out-file={}", out.display()))
        .arg(std::env::current_exe()?)
        .args(["--way", way.name(), "--calls", &calls.to_string()])
        .status()?;
    eyre::ensure!(status.success(), "valgrind failed: {status}");
    let text = std::fs::read_to_string(&out)?;
    std::fs::remove_file(&out)?;
    let totals = text.lines().find_map(|line| line.strip_prefix("totals: "));
    let totals = totals.ok_or_else(|| eyre::eyre!("callgrind wrote no totals"))?;
    Ok(totals
        .split(' ')
        .map(str::parse)
        .collect::<Result<_, _>>()?)
}

fn make_calls(way: Way, calls: u32) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(way, calls))?;
    // Daemons have threads of their own, which need not be waited for.
    std::process::exit(0)
}

async fn run(way: Way, calls: u32) -> eyre::Result<()> {
    let site = one_of_each(ANSWER).await?;
    let status = server(&site, "station-status");
    let other = server(&site, "forecast-archive");
    let (address, host) = match way {
        Way::Direct => (status.daemon.shared().config.backend, "station-status"),
        Way::Local => (status.callers, "station-status"),
        Way::Hop => (other.callers, "station-status"),
        Way::Refused => (other.callers, "no-such-service"),
        Way::Rest => {
            tokio::time::sleep(REST * calls).await;
            return Ok(());
        }
    };
    let client = Client::new(Duration::from_secs(60), 1 << 20);
    for _ in 0..calls {
        one_call(&client, address, host).await?;
    }
    Ok(())
}

async fn one_call(client: &Client, address: SocketAddr, host: &'static str) -> eyre::Result<()> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = format!("http://{address}/").parse()?;
    request
        .headers_mut()
        .insert("host", HeaderValue::from_static(host));
    client.send(request).await?;
    Ok(())
}
