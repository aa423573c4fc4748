//! Set-up shared by the benches of real daemons.

use std::path::Path;

use bramleymount::emulator::{Behaviour, Server, Site};

/// Starts one server for each of three services, whose answers have `answer_bytes`.
///
/// A single server per service makes the path of each call known.
pub(crate) async fn start_site(answer_bytes: usize) -> eyre::Result<Site> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/nordlysvakt");
    let mut estate = Site::load_scaled(&dir, 2, 1.0)?;
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
    let site = Site::start_without_relays(estate, |_| Behaviour {
        answer_bytes,
        ..Behaviour::default()
    });
    Ok(site.await?)
}

/// Returns the server of a service.
///
/// # Panics
///
/// Panics if the site has no such server.
pub(crate) fn find_server<'s>(site: &'s Site, name: &str) -> &'s Server {
    let mut all = site.servers.iter();
    all.find(|server| server.service.as_str() == name)
        .expect("service has a server")
}
