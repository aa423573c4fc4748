//! The validated settings of a daemon.

use std::net::SocketAddr;
use std::path::Path;

use super::check::{
    check_listen, check_pipelining, check_rate_tolerance, check_retry_allowance, check_seeds,
    check_vm,
};
use super::file::File;
use super::{LogFormat, LogLevel};
use crate::declare::{Errors, parse, read};
use crate::error::Error;
use crate::model::{CentreName, HallName, MemorySize, PositiveDuration, ServiceName};
use crate::policy::front::FrontMode;
use crate::policy::rate::RateTolerance;
use crate::policy::retry::AllowanceSettings;
use crate::policy::route::Balance;

/// Maximum number of configured neighbours.
const MAX_NEIGHBOURS: usize = 64;
/// Maximum number of worker threads.
const MAX_WORKERS: usize = 64;

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers and for onward calls of the local backend server.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// The address by which other daemons reach `peers`.
    pub advertised: SocketAddr,
    /// For operators and for announcements of the local backend server.
    pub operators: SocketAddr,
}

/// The interfaces between the daemon and a hosting platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hosting {
    /// The address for announcements of the local backend server.
    pub announcements: SocketAddr,
    /// The address for readiness probes.
    pub readiness: SocketAddr,
    /// The address for metrics scrapers, if any.
    pub metrics: Option<SocketAddr>,
    /// The retries that the platform allows.
    pub retry_allowance: AllowanceSettings,
    /// How far the platform lets workspaces exceed their rates.
    pub rate_tolerance: RateTolerance,
}

/// What a daemon may use of its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory, with the bytes that sockets have received.
    pub memory: MemorySize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Default for VmLimits {
    /// Returns the limits on the smallest VMs.
    fn default() -> Self {
        Self {
            memory: MemorySize::from_megabytes(160),
            descriptors: 4100,
        }
    }
}

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The data centre of the VM.
    pub centre: CentreName,
    /// The hall of the VM.
    pub hall: HallName,
    /// The service of the backend server.
    pub service: ServiceName,
    /// The addresses on which the daemon listens.
    pub listen: ListenAddresses,
    /// The address of the backend server, on the same VM.
    pub backend: SocketAddr,
    /// The address of the platform's table service and object store.
    pub platform: SocketAddr,
    /// Daemons to contact first, to learn of the others.
    pub neighbours: Vec<SocketAddr>,
    /// Set if the VMs belong to a hosting platform with interfaces of its own.
    pub hosting: Option<Hosting>,
    /// The measure by which backend servers are compared.
    pub balance: Balance,
    /// The address to which metrics are sent by UDP, if any.
    pub metrics: Option<SocketAddr>,
    /// How the entry selects the call trees that may start, and when refused callers retry.
    pub front: FrontMode,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum number of pipelined requests on one connection of a caller; with 0 or 1
    /// each request waits for the answer to the previous one.
    pub max_pipelined: usize,
    /// Whether workspaces share the backend server's slot time in proportion to their rates.
    pub fair_sharing: bool,
    /// What the daemon may use of its VM.
    pub vm: VmLimits,
    /// How long a planned stop waits for calls in flight.
    pub grace: PositiveDuration,
    /// Whether the operators' interface may listen beyond loopback.
    pub remote_operators: bool,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// The format of log lines.
    pub log_format: LogFormat,
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors found, each with its line and a correction.
    pub fn read(path: &Path) -> Result<Self, Errors> {
        let file: File = read(path)?;
        Self::check(path, file)
    }

    /// Parses and validates the content of a settings file; errors name `path`.
    ///
    /// # Errors
    ///
    /// Returns all errors found, each with its line and a correction.
    pub fn parse(path: &Path, content: &[u8]) -> Result<Self, Errors> {
        let file: File = parse(path, content)?;
        Self::check(path, file)
    }

    fn check(path: &Path, file: File) -> Result<Self, Errors> {
        let mut errors = Errors::default();
        check_listen(path, &file.listen, &mut errors);
        let own = file.listen.callers.value.ip();
        if !file.backend.value.ip().is_loopback() && file.backend.value.ip() != own {
            let message = "backend must be on loopback, such as 127.0.0.1:9000, or on the VM's \
                           own IP address that callers use";
            errors.push_at(path, &file.backend, message);
        }
        if file.platform.value.port() == 0 {
            errors.push_at(path, &file.platform, "platform must name a port above 0");
        }
        if file.neighbours.len() > MAX_NEIGHBOURS {
            let message = format!("write at most {MAX_NEIGHBOURS} neighbours");
            errors.push_at(path, &file.neighbours[MAX_NEIGHBOURS], message);
        }
        for neighbour in &file.neighbours {
            if neighbour.value == file.listen.peers.value {
                let message = "a daemon cannot be its own neighbour; remove the line";
                errors.push_at(path, neighbour, message);
            }
        }
        let workers = match &file.workers {
            Some(count) if count.value == 0 || count.value > MAX_WORKERS => {
                let message = format!("workers must be from 1 to {MAX_WORKERS}");
                errors.push_at(path, count, message);
                1
            }
            Some(count) => count.value,
            None => 1,
        };
        let max_pipelined = check_pipelining(path, file.callers, &mut errors);
        let vm = check_vm(path, file.vm, &mut errors);
        let mut neighbours: Vec<SocketAddr> = file.neighbours.iter().map(|n| n.value).collect();
        if let Some(entry) = &file.hosting {
            let peers = file.listen.peers.value;
            neighbours.extend(check_seeds(path, &entry.seeds, peers, &mut errors));
        }
        let hosting = file.hosting.map(|entry| Hosting {
            announcements: entry.announcements,
            readiness: entry.readiness,
            metrics: entry.metrics,
            retry_allowance: check_retry_allowance(path, entry.repeats, &mut errors),
            rate_tolerance: check_rate_tolerance(path, entry.rates, &mut errors),
        });
        errors.into_result(Self {
            centre: file.data_centre,
            hall: file.hall,
            service: file.service,
            listen: ListenAddresses {
                callers: file.listen.callers.value,
                peers: file.listen.peers.value,
                advertised: file.listen.advertised.unwrap_or(file.listen.peers.value),
                operators: file.listen.operators.value,
            },
            backend: file.backend.value,
            platform: file.platform.value,
            neighbours,
            hosting,
            balance: file.balance,
            metrics: file.metrics,
            front: file.front,
            workers,
            max_pipelined,
            fair_sharing: file.fair_sharing,
            vm,
            grace: file.grace.unwrap_or(PositiveDuration::from_millis(30_000)),
            remote_operators: file.listen.remote_operators,
            log_level: file.log.level,
            log_format: file.log.format,
        })
    }
}

impl From<Error> for Box<str> {
    fn from(error: Error) -> Self {
        error.to_string().into()
    }
}
