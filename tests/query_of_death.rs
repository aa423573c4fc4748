//! A request that crashes every backend server that runs it (query of death).
//!
//! Guards against retries that spread such a request over all servers of a service.
//! The entry retries it on a second server, and the caller repeats it under new ids.
//! If daemons remember only attempts, nothing links the repeats, and one caller that
//! sends twenty requests a second keeps all servers down. In one incident servers
//! crashed in turn for 15 seconds, one of them 0.1 seconds after its announcement
//! with 5 of 119 slots in use.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bramleymount::web::{Answer, HttpListener};
use http::{Method, StatusCode};
use support::crashing::CrashingVm;
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server};
use support::rows::RowsStandIn;

/// How long after the third crash a request may still reach servers, as required by
/// the operators.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// How often it may reach servers after that.
const MAX_LATE_RUNS: usize = 3;
/// How long a server is down after a crash.
const RESTART_TIME: Duration = Duration::from_millis(600);
/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Three servers of `svc`, and two VMs of other services with entries for callers.
struct Estate {
    servers: Vec<CrashingVm>,
    till: Arc<Vm>,
    logbay: Arc<Vm>,
    _platform: Platform,
}

/// The platform, which outlives the daemons.
#[derive(Clone)]
struct Platform {
    address: SocketAddr,
    _rows: Arc<RowsStandIn>,
    _store: Arc<HttpListener>,
}

impl Platform {
    async fn start() -> Self {
        let (address, rows, listening) = store().await;
        rows.put("op", "config", &document(7, "svc", 5.0));
        Self {
            address,
            _rows: rows,
            _store: Arc::new(listening),
        }
    }
}

impl Estate {
    async fn start() -> Self {
        let platform = Platform::start().await;
        Self::start_on(&platform).await
    }

    async fn start_on(platform: &Platform) -> Self {
        let address = platform.address;
        let mut servers = Vec::new();
        for _ in 0..3 {
            servers.push(CrashingVm::start("svc", address, RESTART_TIME).await);
        }
        let estate = Self {
            servers,
            till: Arc::new(vm_without_server("till", address).await),
            logbay: Arc::new(vm_without_server("logbay", address).await),
            _platform: platform.clone(),
        };
        estate.wait_targets().await;
        estate
    }

    async fn wait_targets(&self) {
        for entry in [&self.till, &self.logbay] {
            entry.wait_ready().await;
            eventually("all targets", || async {
                let service = "svc".parse().expect("a name");
                let table = entry.daemon.shared().targets.table(&service);
                let table = table.lock();
                let own = |server: &CrashingVm| server.vm.daemon.shared().instance;
                let known = |server| table.targets().any(|t| t.instance == own(server));
                self.servers.iter().all(known).then_some(())
            })
            .await;
        }
    }

    /// Kills all daemons at once; the platform keeps its data.
    async fn kill_daemons(self) {
        let servers = self.servers.iter().map(|server| Arc::clone(&server.vm));
        let vms: Vec<Arc<Vm>> = servers.chain([self.till, self.logbay]).collect();
        drop(self.servers);
        for mut vm in vms {
            while let Err(shared) = Arc::try_unwrap(vm).map(|vm| vm.daemon.kill()) {
                vm = shared;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    fn crashes(&self) -> Vec<Instant> {
        let each = self.servers.iter().map(|s| s.server.crashes.lock().clone());
        let mut crashes: Vec<Instant> = each.flatten().collect();
        crashes.sort_unstable();
        crashes
    }

    /// Returns when requests whose path ends with `path` reached servers.
    fn runs(&self, path: &str) -> Vec<Instant> {
        let each = self.servers.iter().map(|s| s.server.runs.lock().clone());
        let runs = each.flatten().filter(|run| run.path.ends_with(path));
        runs.map(|run| run.at).collect()
    }

    /// Checks that a deadly request reaches almost no servers once it is known.
    fn check_runs_stop(&self, path: &str) {
        let crashes = self.crashes();
        assert!(crashes.len() >= 3, "{} crashes", crashes.len());
        let known = crashes[2] + LEARNING_TIME;
        let later = self.runs(path).iter().filter(|at| **at > known).count();
        let ended = crashes.len();
        assert!(
            later <= MAX_LATE_RUNS,
            "reached servers {later} times after all could know of the third crash; {ended} \
             crashes in total"
        );
    }
}

/// Sends the same request repeatedly, alternating between the entries.
async fn repeat_request(entries: [Arc<Vm>; 2], path: &'static str, until: Instant) -> Vec<Answer> {
    let mut tasks = Vec::new();
    let mut count = 0;
    while Instant::now() < until {
        let entry = Arc::clone(&entries[count % 2]);
        let id = format!("insist-{count}");
        tasks.push(tokio::spawn(async move {
            entry.send(Method::GET, path, &id).await
        }));
        count += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.expect("an answer"));
    }
    answers
}

/// Answers to one of the other callers, which retries up to twice.
struct CallerResult {
    began: Instant,
    answers: Vec<Answer>,
}

impl CallerResult {
    fn is_served(&self) -> bool {
        self.answers
            .last()
            .is_some_and(|last| last.status == StatusCode::OK)
    }
}

async fn ask_with_retries(entry: Arc<Vm>, path: String) -> CallerResult {
    let began = Instant::now();
    let mut answers = Vec::new();
    for attempt in 0..3 {
        let id = format!("{}-{attempt}", path.replace('/', "-"));
        let answer = entry.send(Method::GET, &path, &id).await;
        let served = answer.status == StatusCode::OK;
        answers.push(answer);
        if served {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    CallerResult { began, answers }
}

/// Sends other requests, each with its own path, through both entries.
async fn send_other_requests(entries: [Arc<Vm>; 2], until: Instant) -> Vec<CallerResult> {
    let mut tasks = Vec::new();
    let mut count = 0;
    while Instant::now() < until {
        let path = format!("/read/other-{count}");
        let entry = Arc::clone(&entries[count % 2]);
        tasks.push(tokio::spawn(ask_with_retries(entry, path)));
        count += 1;
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await.expect("an end"));
    }
    results
}

fn both_entries(estate: &Estate) -> [Arc<Vm>; 2] {
    [Arc::clone(&estate.till), Arc::clone(&estate.logbay)]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadly_request_is_quarantined_and_others_are_served() {
    let estate = Estate::start().await;
    let until = Instant::now() + LOAD_DURATION;
    let deadly = repeat_request(both_entries(&estate), "/read/deadly", until);
    let (answers, results) =
        tokio::join!(deadly, send_other_requests(both_entries(&estate), until));
    estate.check_runs_stop("/deadly");
    let last = answers.last().expect("answers");
    assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(last.headers.contains_key("retry-after"));
    let known = estate.crashes()[2] + LEARNING_TIME;
    let later: Vec<&CallerResult> = results.iter().filter(|f| f.began > known).collect();
    assert!(!later.is_empty());
    for result in later {
        assert!(result.is_served());
    }
}

/// A request that crashes servers for one caller only is quarantined for that caller
/// only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadly_request_of_one_caller_is_served_to_another() {
    let estate = Estate::start().await;
    let until = Instant::now() + LOAD_DURATION;
    let of = |vm: &Arc<Vm>| [Arc::clone(vm), Arc::clone(vm)];
    let deadly = repeat_request(of(&estate.till), "/read/partial", until);
    let harmless = repeat_request(of(&estate.logbay), "/read/partial", until);
    let (deadly, harmless) = tokio::join!(deadly, harmless);
    let crashes = estate.crashes();
    let known = crashes[2] + LEARNING_TIME;
    let later = crashes.iter().filter(|at| **at > known).count();
    assert!(later <= MAX_LATE_RUNS, "{later} servers crashed later");
    let status = |answer: Option<&Answer>| answer.map(|answer| answer.status);
    assert_eq!(status(deadly.last()), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(status(harmless.last()), Some(StatusCode::OK));
}

/// Crashes with another cause count against the requests in flight only until a
/// server has answered them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answered_request_is_served_after_unrelated_crashes() {
    let estate = Estate::start().await;
    for round in 0..6 {
        let path = "/read/same";
        let id = format!("r{round}");
        let asking = estate.till.send(Method::GET, path, &id);
        let ending = async {
            tokio::time::sleep(Duration::from_millis(40)).await;
            if round % 2 == 0 {
                for vm in &estate.servers {
                    vm.server.crash();
                }
            }
        };
        let (answer, ()) = tokio::join!(asking, ending);
        if round % 2 == 1 {
            assert_eq!(answer.status, StatusCode::OK, "round {round}");
        }
        tokio::time::sleep(RESTART_TIME + Duration::from_millis(200)).await;
    }
}

/// Guards against a quarantine that is lost when all daemons fail at once and the
/// caller repeats the request to their replacements.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantine_survives_loss_of_all_daemons() {
    let platform = Platform::start().await;
    let estate = Estate::start_on(&platform).await;
    let until = Instant::now() + Duration::from_secs(3);
    let answers = repeat_request(both_entries(&estate), "/read/deadly", until).await;
    let last = answers.last().expect("answers");
    assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
    estate.kill_daemons().await;
    let estate = Estate::start_on(&platform).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for entry in both_entries(&estate) {
        let answer = entry.send(Method::GET, "/read/deadly", "again").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let answer = entry.send(Method::GET, "/read/other", "other").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert!(estate.runs("/deadly").is_empty());
}
