//! What the benches of real daemons share.

use std::path::Path;

use bramleymount::emulator::{Behaviour, Server, Site};

/// Starts one server of each of three services in one process, so that it is
/// known which way a call takes; answers have `answer` bytes.
pub(crate) async fn start_site(answer_bytes: usize) -> eyre::Result<Site> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    let mut estate = Site::estate(&dir, 2, 1.0)?;
    estate.services.retain(|name, _| {
        matches!(
            name.as_str(),
            "station-status" | "magnetometer-ingest" | "forecast-archive"
        )
    });
    for service in estate.services.values_mut() {
        service.depends.clear();
        service.servers.truncate(1);
    }
    let site = Site::start_direct(estate, |_| Behaviour {
        answer: answer_bytes,
        ..Behaviour::default()
    });
    Ok(site.await?)
}

/// Returns the server of a service.
///
/// # Panics
///
/// Panics if there is none.
pub(crate) fn find_server<'s>(site: &'s Site, name: &str) -> &'s Server {
    let mut all = site.servers.iter();
    all.find(|server| server.service.as_str() == name)
        .expect("a server")
}
