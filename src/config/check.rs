//! Validation of individual settings.

use std::net::SocketAddr;
use std::path::Path;

use serde_saphyr::Spanned;

use super::VmLimits;
use super::file::{CallersEntry, ListenEntry, RatesEntry, RepeatsEntry, VmEntry};
use crate::declare::Errors;
use crate::model::MemorySize;
use crate::policy::rate::RateTolerance;
use crate::policy::retry::AllowanceSettings;

/// Maximum number of pipelined requests on one connection.
const MAX_PIPELINED: usize = 64;
/// Maximum number of seeds that a platform lists.
const MAX_SEEDS: usize = 16;
/// What a daemon needs at least.
const MIN_VM: VmLimits = VmLimits {
    memory: MemorySize::from_megabytes(48),
    descriptors: 256,
};

pub(super) fn check_pipelining(path: &Path, entry: CallersEntry, errors: &mut Errors) -> usize {
    let Some(max_pipelined) = entry.max_pipelined else {
        return 1;
    };
    if max_pipelined.value > MAX_PIPELINED {
        let message = format!("ahead must be from 0 to {MAX_PIPELINED} requests, such as 8");
        errors.push_at(path, &max_pipelined, message);
    }
    max_pipelined.value
}

/// Returns the peer addresses of the seeds, which a platform lists by the addresses at
/// which they receive announcements. All VMs of an estate use the same ports.
pub(super) fn check_seeds(
    path: &Path,
    seeds: &[Spanned<SocketAddr>],
    peers: SocketAddr,
    errors: &mut Errors,
) -> Vec<SocketAddr> {
    if let Some(excess) = seeds.get(MAX_SEEDS) {
        errors.push_at(path, excess, format!("write at most {MAX_SEEDS} seeds"));
    }
    let others = seeds.iter().filter(|seed| seed.value.ip() != peers.ip());
    others
        .map(|seed| SocketAddr::new(seed.value.ip(), peers.port()))
        .collect()
}

pub(super) fn check_vm(path: &Path, entry: VmEntry, errors: &mut Errors) -> VmLimits {
    if let Some(memory) = &entry.memory
        && memory.value < MIN_VM.memory
    {
        let message = format!("memory must be {} or more, such as 160MB", MIN_VM.memory);
        errors.push_at(path, memory, message);
    }
    if let Some(descriptors) = &entry.descriptors
        && descriptors.value < MIN_VM.descriptors
    {
        let message = format!(
            "descriptors must be {} or more, such as 4100",
            MIN_VM.descriptors
        );
        errors.push_at(path, descriptors, message);
    }
    let default = VmLimits::default();
    VmLimits {
        memory: entry.memory.map_or(default.memory, |size| size.value),
        descriptors: entry
            .descriptors
            .map_or(default.descriptors, |count| count.value),
    }
}

pub(super) fn check_retry_allowance(
    path: &Path,
    entry: Option<RepeatsEntry>,
    errors: &mut Errors,
) -> AllowanceSettings {
    let Some(entry) = entry else {
        return AllowanceSettings::default();
    };
    if !(0.0..=1.0).contains(&entry.share.value) {
        errors.push_at(path, &entry.share, "share must be from 0 to 1, such as 0.2");
    }
    AllowanceSettings {
        share: entry.share.value,
        window: entry.window.get(),
    }
}

pub(super) fn check_rate_tolerance(
    path: &Path,
    entry: Option<RatesEntry>,
    errors: &mut Errors,
) -> RateTolerance {
    let Some(entry) = entry else {
        return RateTolerance::default();
    };
    if !(0.0..=1.0).contains(&entry.over.value) {
        errors.push_at(path, &entry.over, "over must be from 0 to 1, such as 0.1");
    }
    if !(0.0..=1e6).contains(&entry.slack.value) {
        errors.push_at(
            path,
            &entry.slack,
            "slack must be from 0 to 1000000 requests",
        );
    }
    RateTolerance {
        window: entry.window.get(),
        excess: entry.over.value,
        slack: entry.slack.value,
        sharing: entry.sharing,
    }
}

pub(super) fn check_listen(path: &Path, listen: &ListenEntry, errors: &mut Errors) {
    let all = [&listen.callers, &listen.peers, &listen.operators];
    for (index, address) in all.iter().enumerate() {
        if address.value.ip().is_unspecified() {
            let message = "write the VM's own IP address; other daemons must be able to reach it";
            errors.push_at(path, address, message);
        }
        if address.value.port() == 0 {
            errors.push_at(path, address, "write a port above 0");
        }
        if all[..index]
            .iter()
            .any(|other| other.value == address.value)
        {
            let message = format!("{} is used twice; each needs its own", address.value);
            errors.push_at(path, address, message);
        }
    }
    let operators = &listen.operators;
    if !operators.value.ip().is_loopback() && !listen.remote_operators {
        let message = "operators must be on loopback, since anyone who reaches it can change the \
                       configuration; or write operators_beyond_loopback: true";
        errors.push_at(path, operators, message);
    }
}
