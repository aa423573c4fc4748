//! Calls between entry and guard, their answers, and refusals in place of answers.

mod attempt;
mod confirm;
mod head;
mod own;
mod protocol;
mod reason;
mod refusal;
mod reply;

pub use attempt::{Attempt, Planned, Sent};
pub use confirm::StartConfirmation;
pub use head::{Call, CallHead, OnceCall};
pub use own::{
    ATTEMPT_HEADER, CALL_HEADER, OwnProtocol, TIMEOUT_HEADER, WORKSPACE_HEADER, strip_hop_headers,
};
pub use protocol::{AnswerMeaning, Protocol, RequestInfo, RequestOrigin};
pub use reason::Reason;
pub use refusal::{CrashReport, Refusal, VerdictScope};
pub use reply::{Reply, ReplyHead};
