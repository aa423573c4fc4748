//! The settings file of a daemon, read and checked.

use std::net::SocketAddr;
use std::path::Path;

use super::check::{
    check_listen, check_pipelining, check_rate_tolerance, check_retry_allowance, check_seeds,
};
use super::file::File;
use super::{LogFormat, LogLevel};
use crate::declare::{Errors, parse, read};
use crate::error::Error;
use crate::model::{CentreName, HallName, PositiveDuration, ServiceName};
use crate::policy::front::FrontMode;
use crate::policy::rate::RateTolerance;
use crate::policy::retry::AllowanceSettings;
use crate::policy::route::Balance;

/// Largest number of first neighbours.
const MAX_NEIGHBOURS: usize = 64;
/// Largest number of worker threads.
const MAX_WORKERS: usize = 64;

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers, and for onward calls of the own backend server.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// The address by which other daemons reach `peers`.
    pub advertised: SocketAddr,
    /// For operators, and for announcements of the own backend server.
    pub operators: SocketAddr,
}

/// Where a hosting platform meets the daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hosting {
    /// For announcements of the own backend server.
    pub announcements: SocketAddr,
    /// For questions whether the daemon takes calls.
    pub readiness: SocketAddr,
    /// For scrapers of metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// What the platform allows of retries.
    pub retry_allowance: AllowanceSettings,
    /// What the platform tolerates of workspaces that exceed their rates.
    pub rate_tolerance: RateTolerance,
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
    /// Where the daemon listens.
    pub listen: ListenAddresses,
    /// Where the backend server listens, on loopback.
    pub backend: SocketAddr,
    /// Where the platform's table service and object store answer.
    pub platform: SocketAddr,
    /// Daemons to ask first for the others.
    pub neighbours: Vec<SocketAddr>,
    /// Set if the daemon runs on VMs whose platform speaks its own interfaces.
    pub hosting: Option<Hosting>,
    /// By what backend servers are compared.
    pub balance: Balance,
    /// Where metrics go by UDP, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Which trees of calls begin, and when refused callers return.
    pub front: FrontMode,
    /// Threads that take calls from callers.
    pub workers: usize,
    /// Requests of one connection of a caller that may be under way; with one
    /// or none each waits for the answer to the one in front of it.
    pub max_pipelined: usize,
    /// Whether workspaces share the backend server's slot time by their rates.
    pub fair_sharing: bool,
    /// How long a planned stop waits for calls in flight.
    pub grace: PositiveDuration,
    /// Whether the operators' interface may listen beyond loopback.
    pub remote_operators: bool,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// The form of log lines.
    pub log_format: LogFormat,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every mistake found, with line and what to write instead.
    pub fn read(path: &Path) -> Result<Self, Errors> {
        let file: File = read(path)?;
        Self::check(path, file)
    }

    /// Checks the content of a settings file; `path` is named in mistakes.
    ///
    /// # Errors
    ///
    /// Returns every mistake found, with line and what to write instead.
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
                           own IP number that callers use";
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
                let message = "a daemon is no neighbour of its own; remove the line";
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
