//! The estate that is soaked: addresses, settings and the operator's document.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bramleymount::emulator::free_address_on;

/// Data centres, and VMs in each.
pub(crate) const CENTRE_COUNT: usize = 3;
pub(crate) const VMS_PER_CENTRE: usize = 3;
/// Services; VM n of a data centre belongs to service n of these.
pub(crate) const SERVICES: [&str; 3] = ["front", "back", "front"];
/// Calls that a backend server runs at one time.
pub(crate) const BACKEND_SLOTS: u32 = 20;
/// What the platform allows of retries: a share, and a slack on top.
pub(crate) const RETRY_SHARE: f64 = 0.2;
pub(crate) const RETRY_SLACK: f64 = 47.0;

/// The paths of requests: idempotent ones, ones that must not run twice, and
/// one whose service changes with the version.
pub(crate) const READ_PATH: &str = "/read/";
pub(crate) const WRITE_PATH: &str = "/write/";
pub(crate) const MOVED_PATH: &str = "/moved/";

/// How the paths of requests begin that crash each server that runs them; the
/// number of one such request follows.
pub(crate) const DEADLY_PATH: &str = "/read/deadly-";

/// Returns the number of a deadly request.
pub(crate) fn deadly_number(path: &str) -> Option<u64> {
    path.strip_prefix(DEADLY_PATH)?.parse().ok()
}

/// The addresses of one VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// Where other daemons reach `peers`: a proxy that faults act on.
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

    /// Writes the settings of the daemon.
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

/// Returns the service that a version sends `MOVED` to.
pub(crate) fn moved_path_service(version: u64) -> &'static str {
    SERVICES[version as usize % 2]
}

/// Writes a version of the operator's document.
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
