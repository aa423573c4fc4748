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

mod admitted_share;
mod backoff;
mod boost;
mod mode;
mod options;
mod retry_detector;
mod unreachable;

pub use admitted_share::{AdmittedShare, Trend};
pub use backoff::{RefusedCaller, backoff};
pub use boost::boosted_root;
pub use mode::FrontMode;
pub use options::FrontOptions;
pub use retry_detector::RetryDetector;
pub use unreachable::{UNREACHABLE_DEMAND, is_unreachable};
