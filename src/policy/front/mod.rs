//! Which trees of calls begin at the front, and when refused callers return.
//!
//! The load: demand swings around what the last service of a chain can serve,
//! and a surge lies on it. Callers repeat a refused request once or twice within
//! their time, so what they are told decides whether they come back into the
//! same crest, in time for an answer of full use, or too late for any. A tree
//! that is refused below its front has used slots of other services for nothing.
//!
//! All of this is decided by what one entry sees itself. Nothing is told to
//! others but the root of a request, which places its whole tree in the order
//! of admission.

mod backoff;
mod boost;
mod hysteresis;
mod mode;
mod options;
mod outlook;
mod retries;

pub use backoff::{RefusedCaller, backoff};
pub use boost::boosted;
pub use hysteresis::with_hysteresis;
pub use mode::Front;
pub use options::Options;
pub use outlook::{Outlook, Trend};
pub use retries::RetryDetector;
