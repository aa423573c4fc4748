//! Decisions at the front of an estate: when refused callers return, which
//! callers go first, and which call trees are refused since they cannot reach a
//! service.
//!
//! Demand fluctuates around the capacity of the last service of a chain, with
//! surges on top. Callers repeat a refused request once or twice within their
//! time, so their backoff decides whether they return into the same peak, in time
//! for an answer within the objective, or too late for any.
//!
//! Each entry decides by what it observes itself. It passes on only the root id
//! of a request, which ranks the whole call tree in the order of admission.

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
