//! When refused callers return, and which trees of calls begin then.
//!
//! Besides, trees are refused whose calls cannot reach a service.
//!
//! The load: demand swings around what the last service of a chain can serve,
//! and a surge lies on it. Callers repeat a refused request once or twice within
//! their time, so what they are told decides whether they come back into the
//! same crest, in time for an answer of full use, or too late for any.
//!
//! All of this is decided by what one entry sees itself. Nothing is told to
//! others but the root of a request, which places its whole tree in the order
//! of admission.

mod backoff;
mod boost;
mod mode;
mod options;
mod outlook;
mod reach;
mod retries;

pub use backoff::{RefusedCaller, backoff};
pub use boost::boosted;
pub use mode::Front;
pub use options::Options;
pub use outlook::{Outlook, Trend};
pub use reach::{CUT_OFF, is_cut_off};
pub use retries::RetryDetector;
