//! The estate under test: addresses, settings and the operator's configuration.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bramleymount::emulator::free_address_on;
use bytes::Bytes;

/// Number of data centres.
pub(crate) const CENTRE_COUNT: usize = 3;
/// The services of the VMs of a data centre, by the VM's index.
pub(crate) const SERVICES: [&str; 3] = ["front", "back", "front"];
/// Number of calls that a backend server runs concurrently.
pub(crate) const BACKEND_SLOTS: u32 = 20;
/// Retries that the platform allows: a share of the requests, and a number on top.
pub(crate) const RETRY_SHARE: f64 = 0.2;
pub(crate) const RETRY_SLACK: f64 = 47.0;

/// Path prefix of idempotent requests.
pub(crate) const READ_PATH: &str = "/read/";
/// Path prefix of requests that must not run twice.
pub(crate) const WRITE_PATH: &str = "/write/";
/// Path prefix of idempotent requests whose service changes with the version.
pub(crate) const MOVED_PATH: &str = "/moved/";
/// Path prefix of calls that backend servers make.
pub(crate) const CALL_PATH: &str = "/call/";
/// Path prefix of calls that backend servers make while they run such a call.
pub(crate) const LEAF_PATH: &str = "/leaf/";
/// Path prefix of requests whose answers take a while to send.
pub(crate) const STREAM_PATH: &str = "/stream/";
/// Path prefix of requests with large answers.
pub(crate) const BULK_PATH: &str = "/bulk/";

/// Size of streamed answers in bytes, more than a daemon holds whole.
const STREAM_SIZE: usize = 768 * 1024;
/// Size of large answers in bytes.
const BULK_SIZE: usize = 128 * 1024;

/// A route of the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) path: &'static str,
    kind: &'static str,
    /// The service, or `None` if it changes with the version.
    pub(crate) service: Option<&'static str>,
    pub(crate) timeout: Duration,
}

impl Route {
    const fn new(path: &'static str, service: Option<&'static str>) -> Self {
        Self {
            path,
            kind: "idempotent",
            service,
            timeout: Duration::from_secs(2),
        }
    }
}

const ROUTES: [Route; 7] = [
    Route::new(READ_PATH, Some("front")),
    Route {
        kind: "non_idempotent",
        ..Route::new(WRITE_PATH, Some("back"))
    },
    Route::new(MOVED_PATH, None),
    Route::new(CALL_PATH, Some("back")),
    Route::new(LEAF_PATH, Some("front")),
    Route {
        timeout: Duration::from_secs(5),
        ..Route::new(STREAM_PATH, Some("back"))
    },
    Route {
        timeout: Duration::from_secs(5),
        ..Route::new(BULK_PATH, Some("front"))
    },
];

/// Returns the route of a path.
pub(crate) fn route_of(path: &str) -> &'static Route {
    let mut routes = ROUTES.iter();
    let route = routes.find(|route| path.starts_with(route.path));
    route.expect("a path of a route")
}

/// Returns the body of a server's answer.
pub(crate) fn answer_body(path: &str, id: &str) -> Bytes {
    let text = format!("answer to {id}");
    let size = match route_of(path).path {
        STREAM_PATH => STREAM_SIZE,
        BULK_PATH => BULK_SIZE,
        _ => return text.into(),
    };
    text.repeat(size / text.len()).into()
}

/// Path prefix of deadly requests, which crash each server that runs them; the
/// number of the request follows.
pub(crate) const DEADLY_PATH: &str = "/read/deadly-";

/// Returns the number of a deadly request, or `None` for other paths.
pub(crate) fn deadly_number(path: &str) -> Option<u64> {
    path.strip_prefix(DEADLY_PATH)?.parse().ok()
}

/// The addresses of one VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// The proxy through which other daemons reach `peers`; faults act on it.
    pub(crate) proxy: SocketAddr,
    pub(crate) announcements: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) backend: SocketAddr,
    operators: SocketAddr,
}

impl Addresses {
    pub(crate) fn allocate(vm: usize) -> eyre::Result<Self> {
        let centre = u8::try_from(vm % CENTRE_COUNT)?;
        let index = u8::try_from(vm / CENTRE_COUNT)?;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 10, centre + 1, index + 1));
        Ok(Self {
            callers: free_address_on(ip)?,
            peers: free_address_on(ip)?,
            proxy: free_address_on(ip)?,
            announcements: free_address_on(ip)?,
            readiness: free_address_on(ip)?,
            backend: free_address_on(ip)?,
            operators: free_address_on(ip)?,
        })
    }

    /// Formats the daemon's settings file.
    pub(crate) fn settings_yaml(&self, vm: usize, store: SocketAddr) -> String {
        let centre = vm % CENTRE_COUNT;
        let grace = super::vm::GRACE_PERIOD.as_secs();
        format!(
            "data_centre: dc-{centre}\nhall: dc-{centre}\nservice: {}\nlisten:\n  callers: {}\n  \
             peers: {}\n  advertised: {}\n  operators: {}\nbackend: {}\nplatform: {store}\n\
             hosting:\n  announcements: {}\n  readiness: {}\n  \
             repeats: {{share: {RETRY_SHARE}, window: 10s}}\ncallers: {{ahead: 4}}\ngrace: {grace}s\n\
             log: {{level: info, format: json}}\n",
            service_of(vm),
            self.callers,
            self.peers,
            self.proxy,
            self.operators,
            self.backend,
            self.announcements,
            self.readiness,
        )
    }
}

pub(crate) fn service_of(vm: usize) -> &'static str {
    SERVICES[vm / CENTRE_COUNT % SERVICES.len()]
}

/// Returns the service that a version routes `MOVED_PATH` to.
pub(crate) fn moved_path_service(version: u64) -> &'static str {
    SERVICES[version as usize % 2]
}

/// Formats the operator's configuration of a version.
pub(crate) fn configuration_document(version: u64) -> String {
    let routes = ROUTES.map(|route| {
        let Route { path, kind, .. } = route;
        let service = route.service.unwrap_or(moved_path_service(version));
        let timeout = route.timeout.as_secs();
        let name = path.trim_matches('/');
        format!(
            r#""{name}":{{"authority":"a.example","pathPrefix":"{path}","routeType":"{kind}",
            "timeoutS":{timeout},"goalS":1,"priority":0,"upstream":"{service}","attempts":2}}"#
        )
    });
    format!(
        r#"{{"version":{version},"routes":{{{}}},"services":{{
        "front":{{"healthPath":"/h","maxConns":200}},"back":{{"healthPath":"/h","maxConns":200}}}}}}"#,
        routes.join(",")
    )
}
