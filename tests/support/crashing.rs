//! Backend servers that some requests crash.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bramleymount::web::{CallerAnswer, HttpListener, caller_text, listen};
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;

use super::hosted::{Vm, vm_without_server};

/// Processing time of a request, similar to that of users' servers.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time from the start of a deadly request to the crash of its server.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// A request that a server has started to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub path: String,
}

/// A backend server that crashes on each request whose path ends with `/deadly`,
/// and on those from the service `till` whose path ends with `/partial`.
/// [`CrashingVm`] restarts it under a new instance id.
pub struct CrashingServer {
    address: SocketAddr,
    listening: Mutex<Option<HttpListener>>,
    instance_id: Mutex<String>,
    /// All started requests, in order.
    pub runs: Mutex<Vec<Run>>,
    /// The times of the crashes.
    pub crashes: Mutex<Vec<Instant>>,
}

impl CrashingServer {
    async fn start(self: &Arc<Self>, run: usize) {
        *self.instance_id.lock() = format!("i-{}-{run}", self.address.port());
        let this = Arc::clone(self);
        let listening = listen(self.address, move |request, _| {
            Arc::clone(&this).serve(request)
        });
        let listening = listening.await.expect("a backend server");
        self.listening.lock().replace(listening);
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> CallerAnswer {
        let header = |name: &str| request.headers().get(name).cloned();
        let path = request.uri().path().to_owned();
        let mut answer = caller_text(StatusCode::OK, "text/plain", "whole answer");
        let id = header("x-request-id").expect("an id");
        answer.headers_mut().insert("x-request-id", id);
        let expected = header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.instance_id.lock().as_str()) {
            *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return answer;
        }
        let run = Run {
            at: Instant::now(),
            path: path.clone(),
        };
        self.runs.lock().push(run);
        let caller = header("x-caller-service");
        let deadly = path.ends_with("/deadly")
            || path.ends_with("/partial") && caller.is_some_and(|caller| caller == "till");
        if deadly {
            tokio::time::sleep(CRASH_DELAY).await;
            self.crash();
        }
        tokio::time::sleep(SERVICE_TIME).await;
        let signature = HeaderValue::from_static("signed");
        answer.headers_mut().insert("x-server-signature", signature);
        answer
    }

    /// Crashes the server: closes its port and all its connections.
    pub fn crash(&self) {
        if self.listening.lock().take().is_some() {
            self.crashes.lock().push(Instant::now());
        }
    }

    fn is_down(&self) -> bool {
        self.listening.lock().is_none()
    }
}

/// A VM that restarts its backend server `downtime` after each crash.
pub struct CrashingVm {
    pub vm: Arc<Vm>,
    pub server: Arc<CrashingServer>,
    restart_task: tokio::task::JoinHandle<()>,
}

impl Drop for CrashingVm {
    fn drop(&mut self) {
        self.restart_task.abort();
    }
}

impl CrashingVm {
    pub async fn start(service: &str, store: SocketAddr, downtime: Duration) -> Self {
        let vm = Arc::new(vm_without_server(service, store).await);
        let server = Arc::new(CrashingServer {
            address: vm.backend,
            listening: Mutex::default(),
            instance_id: Mutex::default(),
            runs: Mutex::default(),
            crashes: Mutex::default(),
        });
        server.start(0).await;
        announce(&vm, &server, 1).await;
        let restart_task = tokio::spawn(restart_after_crashes(
            Arc::clone(&vm),
            Arc::clone(&server),
            downtime,
        ));
        Self {
            vm,
            server,
            restart_task,
        }
    }
}

async fn announce(vm: &Vm, server: &CrashingServer, sequence: u64) {
    let id = server.instance_id.lock().clone();
    let answer = vm.announce_as(&id, "ready", sequence).await;
    assert_eq!(answer.status, StatusCode::OK);
}

async fn restart_after_crashes(vm: Arc<Vm>, server: Arc<CrashingServer>, downtime: Duration) {
    let mut run = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        if server.is_down() {
            tokio::time::sleep(downtime).await;
            run += 1;
            server.start(run).await;
            announce(&vm, &server, 1).await;
        }
    }
}
