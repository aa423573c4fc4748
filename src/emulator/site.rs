//! An estate of daemons and backend servers in one process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use super::{BackendServer, Behaviour, Network, OnwardCall, Relay, Zone, free_address_on};
use crate::config::{Config, ListenAddresses, LogFormat, LogLevel, VmLimits};
use crate::daemon::Daemon;
use crate::declare::{Estate, load, split};
use crate::error::Error;
use crate::model::{CentreName, HallName, PositiveDuration, ServiceName, Slots, Version};
use crate::operator::{ApplyRequest, ApplyResult, apply};
use crate::policy::front::FrontMode;
use crate::policy::route::Balance;
use crate::store::MemoryPlatform;

/// Interval at which emulated backend servers renew their leases.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout until all daemons of a site know each other.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(60);

/// A backend server with its daemon.
pub struct Server {
    /// The daemon.
    pub daemon: Daemon,
    /// The backend server.
    pub backend: BackendServer,
    /// The daemon's address for callers.
    pub callers: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// The zone of the data centre.
    pub zone: Zone,
    renewal_task: tokio::task::JoinHandle<()>,
    _relay: Option<Relay>,
}

impl Server {
    /// Stops daemon and backend server without a shutdown, as the loss of a VM does.
    pub fn kill(self) {
        self.renewal_task.abort();
        self.daemon.kill();
    }
}

/// The servers of an estate with their platform and network.
pub struct Site {
    /// The servers.
    pub servers: Vec<Server>,
    /// The in-memory platform.
    pub platform: Arc<MemoryPlatform>,
    /// The network between data centres.
    pub network: Arc<Network>,
    /// The declarations that [`Self::apply_estate`] applies.
    pub estate: Estate,
    without_relays: bool,
}

impl Site {
    /// Loads declarations and scales them down to the first `centres` data centres,
    /// one server per service in each, and the share `scale` of the slots (at least 2).
    ///
    /// # Errors
    ///
    /// Fails if the declarations are not valid.
    pub fn load_scaled(dir: &Path, centres: usize, scale: f64) -> Result<Estate, Error> {
        let mut estate = load(dir).map_err(|e| Error::remote(e.to_string()))?;
        estate.centres.truncate(centres);
        let centre_names: Vec<CentreName> = estate.centres.iter().map(|c| c.name.clone()).collect();
        for service in estate.services.values_mut() {
            service
                .servers
                .retain(|place| centre_names.contains(&place.centre));
            service.servers.dedup_by(|a, b| a.centre == b.centre);
            service.servers.iter_mut().for_each(|place| place.count = 1);
            let slots = f64::from(service.slots.get()) * scale;
            service.slots = Slots::new((slots as u32).max(2));
        }
        Ok(estate)
    }

    /// Starts all servers of an estate and applies its declarations.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the declarations are not accepted, or
    /// the daemons do not discover each other in time.
    pub async fn start(
        estate: Estate,
        behaviour_of: impl Fn(&ServiceName) -> Behaviour,
    ) -> Result<Self, Error> {
        Self::start_servers(estate, behaviour_of, false).await
    }

    /// Like [`Self::start`], but without relays between the daemons, which would
    /// add latency. Network partitions have no effect.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the declarations are not accepted, or
    /// the daemons do not discover each other in time.
    pub async fn start_without_relays(
        estate: Estate,
        behaviour_of: impl Fn(&ServiceName) -> Behaviour,
    ) -> Result<Self, Error> {
        Self::start_servers(estate, behaviour_of, true).await
    }

    async fn start_servers(
        estate: Estate,
        behaviour_of: impl Fn(&ServiceName) -> Behaviour,
        without_relays: bool,
    ) -> Result<Self, Error> {
        let mut site = Self {
            servers: Vec::new(),
            platform: Arc::new(MemoryPlatform::default()),
            network: Arc::new(Network::default()),
            estate,
            without_relays,
        };
        let services: Vec<_> = site.estate.services.values().cloned().collect();
        for service in &services {
            for place in &service.servers {
                for _ in 0..place.count {
                    let behaviour = behaviour_of(&service.name);
                    let name = service.name.clone();
                    site.add_server(&name, &place.centre, &place.hall, behaviour)
                        .await?;
                }
            }
        }
        site.apply_estate().await?;
        site.wait_for_members().await?;
        Ok(site)
    }

    /// Starts and adds a server.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn add_server(
        &mut self,
        service: &ServiceName,
        centre: &CentreName,
        hall: &HallName,
        mut behaviour: Behaviour,
    ) -> Result<(), Error> {
        let place = self.estate.centres.iter().position(|c| c.name == *centre);
        let number = u8::try_from(place.unwrap_or_default() + 1).unwrap_or(1);
        let zone = Zone::new(number);
        let config = self.config(service, centre, hall, zone.ip())?;
        let advertised = config.listen.advertised;
        let declared = self.estate.services.get(service);
        if behaviour.onward_calls.is_empty() {
            behaviour.onward_calls = declared.map(onward_calls).unwrap_or_default();
        }
        let slots = declared.map_or(1, |service| service.slots.get());
        let callers = config.listen.callers;
        let peers = config.listen.peers;
        let relay = if advertised == peers {
            None
        } else {
            Some(Relay::start(advertised, peers, Arc::clone(&self.network)).await?)
        };
        let backend = BackendServer::start(config.backend, callers, slots as usize, behaviour)?;
        let daemon = Daemon::start_on(config, Arc::clone(&self.platform) as _).await?;
        daemon.guard().renew_lease(false);
        let guard = Arc::clone(daemon.guard());
        let renewal_task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(RENEWAL_INTERVAL).await;
                guard.renew_unless_draining();
            }
        });
        self.servers.push(Server {
            daemon,
            backend,
            callers,
            service: service.clone(),
            zone,
            renewal_task,
            _relay: relay,
        });
        Ok(())
    }

    fn config(
        &self,
        service: &ServiceName,
        centre: &CentreName,
        hall: &HallName,
        ip: IpAddr,
    ) -> Result<Config, Error> {
        let peers = free_address_on(ip)?;
        let advertised = if self.without_relays {
            peers
        } else {
            free_address_on(ip)?
        };
        let neighbours = self.servers.iter().take(3);
        Ok(Config {
            centre: centre.clone(),
            hall: hall.clone(),
            service: service.clone(),
            listen: ListenAddresses {
                callers: free_address_on(ip)?,
                peers,
                advertised,
                operators: free_address_on(ip)?,
            },
            backend: free_address_on(ip)?,
            platform: SocketAddr::new(ip, 1),
            neighbours: neighbours
                .map(|server| server.daemon.shared().instance.address)
                .collect(),
            hosting: None,
            balance: Balance::default(),
            metrics: None,
            front: FrontMode::default(),
            workers: 1,
            max_pipelined: 1,
            fair_sharing: false,
            vm: VmLimits::default(),
            grace: PositiveDuration::from_millis(10_000),
            remote_operators: false,
            log_level: LogLevel::Warn,
            log_format: LogFormat::Text,
        })
    }

    /// Applies the estate's declarations.
    ///
    /// # Errors
    ///
    /// Fails if the declarations are not accepted.
    pub async fn apply_estate(&self) -> Result<Version, Error> {
        let Some(first) = self.servers.first() else {
            return Ok(Version::NONE);
        };
        let shared = first.daemon.shared();
        let request = ApplyRequest {
            change: uuid::Uuid::now_v7().to_string().into(),
            author: "emulator".into(),
            base: shared.current.version(),
            documents: split(&self.estate),
        };
        match apply(shared, request).await {
            ApplyResult::Accepted { version } => Ok(version),
            other => Err(Error::remote(format!(
                "declarations not accepted: {other:?}"
            ))),
        }
    }

    /// Waits until every daemon knows all others and has a configuration.
    ///
    /// # Errors
    ///
    /// Fails after 60 seconds.
    pub async fn wait_for_members(&self) -> Result<(), Error> {
        let ready = || {
            self.servers.iter().all(|server| {
                let shared = server.daemon.shared();
                let serving = shared
                    .view
                    .lock()
                    .members()
                    .filter(|m| m.state == crate::policy::member::MemberState::Serving)
                    .count();
                serving == self.servers.len() && shared.current.get().is_some()
            })
        };
        let wait = async {
            while !ready() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(MEMBERS_TIMEOUT, wait)
            .await
            .map_err(|_| Error::remote("not all daemons discovered each other within 60 s"))
    }
}

fn onward_calls(service: &crate::declare::Service) -> Vec<OnwardCall> {
    service
        .depends
        .iter()
        .map(|service| OnwardCall {
            service: service.clone(),
            path: "/".into(),
        })
        .collect()
}
