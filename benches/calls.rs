//! Instructions and cache misses of a call, by the path it takes.
//!
//! Counts come from `valgrind --tool=callgrind` (system package `valgrind`), so
//! they repeat to a few in a thousand on a busy machine too. The program runs
//! itself under it with few calls and with many; the difference excludes start
//! and shutdown. Callers, backend servers and daemons share the process, so the
//! counts of a direct call are subtracted from those of the local and hop paths.
//! Nothing is subtracted from a refused call, which reaches no backend server.
//!
//! `cargo bench --bench calls` prints the table; `-- --way hop --calls 100` only
//! makes calls, for use with other tools.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use bramleymount::web::Client;
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::Full;
use support::{find_server, start_site};

/// Size of an answer, in bytes.
const ANSWER_BYTES: usize = 600;
/// Number of calls in the shorter of the two compared runs.
const FEW_CALLS: u32 = 100;
/// Number of calls in the longer of the two compared runs.
const MANY_CALLS: u32 = 600;
/// Time that the idle path waits in place of each call.
const IDLE_TIME: Duration = Duration::from_millis(100);
/// Size, associativity and line size of the simulated last-level cache, as on a
/// small VM.
const CACHE_OPTION: &str = "--LL=1048576,16,64";

/// The path that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPath {
    Direct,
    Local,
    Hop,
    Refused,
    Idle,
}

impl CallPath {
    const ALL: [Self; 5] = [
        Self::Direct,
        Self::Local,
        Self::Hop,
        Self::Refused,
        Self::Idle,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Local => "local",
            Self::Hop => "hop",
            Self::Refused => "refused",
            Self::Idle => "rest",
        }
    }
}

/// Event counts of one run, in the order of callgrind's summary.
type EventCounts = Vec<f64>;

fn main() -> eyre::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let at = args.iter().position(|arg| arg == name)?;
        args.get(at + 1).cloned()
    };
    if let Some(path) = option("--way") {
        let path = CallPath::ALL.into_iter().find(|known| known.name() == path);
        let path =
            path.ok_or_else(|| eyre::eyre!("--way must be direct, local, hop, refused or rest"))?;
        let calls = option("--calls").map_or(Ok(FEW_CALLS), |calls| calls.parse())?;
        return run_calls(path, calls);
    }
    print_table()
}

/// Prints the counts per call, by path.
fn print_table() -> eyre::Result<()> {
    println!("way instructions l1i_misses l1d_misses last_level_misses");
    let mut direct = EventCounts::new();
    for path in CallPath::ALL {
        let (few, many) = (
            count_events(path, FEW_CALLS)?,
            count_events(path, MANY_CALLS)?,
        );
        let calls = f64::from(MANY_CALLS - FEW_CALLS);
        let mut per_call: EventCounts = many
            .iter()
            .zip(&few)
            .map(|(m, f)| (m - f) / calls)
            .collect();
        match path {
            CallPath::Direct => direct.clone_from(&per_call),
            CallPath::Local | CallPath::Hop => {
                per_call.iter_mut().zip(&direct).for_each(|(e, d)| *e -= d)
            }
            CallPath::Refused | CallPath::Idle => {}
        }
        // Ir Dr Dw I1mr D1mr D1mw ILmr DLmr DLmw
        println!(
            "{} {:.0} {:.0} {:.0} {:.0}",
            path.name(),
            per_call[0],
            per_call[3],
            per_call[4] + per_call[5],
            per_call[6] + per_call[7] + per_call[8]
        );
    }
    Ok(())
}

/// Runs this program under callgrind and returns the totals of its summary.
fn count_events(path: CallPath, calls: u32) -> eyre::Result<EventCounts> {
    let out = std::env::temp_dir().join(format!("calls.{}.{}", std::process::id(), path.name()));
    let status = Command::new("valgrind")
        .args(["--tool=callgrind", "--cache-sim=yes", CACHE_OPTION, "-q"])
        .arg(format!("--callgrind-out-file={}", out.display()))
        .arg(std::env::current_exe()?)
        .args(["--way", path.name(), "--calls", &calls.to_string()])
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

fn run_calls(path: CallPath, calls: u32) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(path, calls))?;
    // Exits without waiting for the daemons' own threads.
    std::process::exit(0)
}

async fn run(path: CallPath, calls: u32) -> eyre::Result<()> {
    let site = start_site(ANSWER_BYTES).await?;
    let status = find_server(&site, "station-status");
    let other = find_server(&site, "forecast-archive");
    let (address, host) = match path {
        CallPath::Direct => (status.daemon.shared().config.backend, "station-status"),
        CallPath::Local => (status.callers, "station-status"),
        CallPath::Hop => (other.callers, "station-status"),
        CallPath::Refused => (other.callers, "no-such-service"),
        CallPath::Idle => {
            tokio::time::sleep(IDLE_TIME * calls).await;
            return Ok(());
        }
    };
    let client = Client::new(Duration::from_secs(60), 1 << 20);
    for _ in 0..calls {
        send_call(&client, address, host).await?;
    }
    Ok(())
}

async fn send_call(client: &Client, address: SocketAddr, host: &'static str) -> eyre::Result<()> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = format!("http://{address}/").parse()?;
    request
        .headers_mut()
        .insert("host", HeaderValue::from_static(host));
    client.send(request).await?;
    Ok(())
}
