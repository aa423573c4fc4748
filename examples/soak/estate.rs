//! The estate under test: addresses, settings and the operator's configuration.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bramleymount::emulator::free_address_on;

/// Number of data centres.
pub(crate) const CENTRE_COUNT: usize = 3;
/// Number of VMs in each data centre.
pub(crate) const VMS_PER_CENTRE: usize = 3;
/// The service of each VM of a data centre, by the VM's index.
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
        let centre = u8::try_from(vm / VMS_PER_CENTRE)?;
        let index = u8::try_from(vm % VMS_PER_CENTRE)?;
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
        let centre = vm / VMS_PER_CENTRE;
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
    SERVICES[vm % VMS_PER_CENTRE]
}

/// Returns the service that a version routes `MOVED_PATH` to.
pub(crate) fn moved_path_service(version: u64) -> &'static str {
    SERVICES[version as usize % 2]
}

/// Formats the operator's configuration of a version.
pub(crate) fn configuration_document(version: u64) -> String {
    let route = |name: &str, path: &str, kind: &str, service: &str| {
        format!(
            r#""{name}":{{"authority":"a.example","pathPrefix":"{path}","routeType":"{kind}",
            "timeoutS":2,"goalS":1,"priority":0,"upstream":"{service}","attempts":2}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":{{{},{},{}}},"services":{{
        "front":{{"healthPath":"/h","maxConns":200}},"back":{{"healthPath":"/h","maxConns":200}}}}}}"#,
        route("read", READ_PATH, "idempotent", "front"),
        route("write", WRITE_PATH, "non_idempotent", "back"),
        route(
            "moved",
            MOVED_PATH,
            "idempotent",
            moved_path_service(version)
        ),
    )
}
