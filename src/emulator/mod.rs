//! Emulated backend servers, callers and networks around real daemons, for the
//! demo, the benchmarks and the tests.

mod backend;
mod caller;
mod network;
mod ports;
mod relay;
mod site;

pub use backend::{BackendServer, Behaviour, OnwardCall, TAG_HEADER};
pub use caller::{CallerOutcome, Sample, SampleLog, Workload, run_workload};
pub use network::{Network, Zone};
pub use ports::{free_address, free_address_on};
pub use relay::Relay;
pub use site::{Server, Site};
