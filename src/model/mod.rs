//! Newtypes for names, ids, sizes and rates, shared by all modules.

mod born;
mod crash_id;
mod fingerprint;
mod id;
mod instance;
mod level;
mod name;
mod news;
mod once_key;
mod percent;
mod priority;
mod server_id;
mod size;
mod span;
mod verdict;
mod version;

pub use born::Born;
pub use crash_id::CrashId;
pub use fingerprint::{Asked, Fingerprint};
pub use id::{AttemptId, CallId, RootId};
pub use instance::{Instance, StartStamp};
pub use level::Level;
pub use name::{CallerName, CentreName, ClassName, HallName, RouteName, ServiceName};
pub use news::{Demand, GuardNews, RankSet};
pub use once_key::{MintTime, OnceKey};
pub use percent::Percent;
pub use priority::{ClassRank, Depth, Priority};
pub use server_id::ServerId;
pub use size::{Bytes, Connections, Retries, Slots, Weight};
pub use span::Span;
pub use verdict::Verdict;
pub use version::Version;
