//! Small emulators of the systems that a daemon serves, for the demo, the
//! benchmarks and the tests.

mod backend;
mod ports;

pub use backend::{BackendServer, Behaviour, Onward, TAG};
pub use ports::free_address;
