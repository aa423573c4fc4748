//! Reasons for a refusal.

use std::fmt;
use std::str::FromStr;

use http::StatusCode;

use crate::error::Error;
use crate::policy::admission::Shed;
use crate::policy::once::OnceRefusal;

/// Why a call was refused, that is, has no answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It was shed.
    Shed(Shed),
    /// It is a once call, and running at most once could not be ensured.
    Once(OnceRefusal),
    /// The call is not well formed.
    BadRequest,
    /// The body exceeds the maximum size.
    TooLarge,
    /// The body was incomplete.
    IncompleteRequest,
    /// No such service is declared.
    NoSuchService,
    /// The caller sent no API key, or one that belongs to no workspace.
    UnknownKey,
    /// The workspace has reached its request rate.
    OverRate,
    /// The caller may not use this class.
    Forbidden,
    /// The call tree is too deep.
    TooDeep,
    /// The daemon has no configuration yet.
    NoConfig,
    /// No backend server of the service can be reached.
    Unreachable,
    /// The backend server refused it without running it.
    Rejected,
    /// A new run has replaced the daemon or backend server that it was sent to.
    Replaced,
    /// The connection was lost before the answer was complete.
    IncompleteAnswer,
    /// The backend server crashed while it ran the call.
    Crashed,
    /// The answer was invalid.
    InvalidAnswer,
    /// It is quarantined because backend servers crash when they run it.
    QueryOfDeath,
    /// The deadline passed.
    Timeout,
}

const PLAIN_REASONS: [Reason; 17] = [
    Reason::BadRequest,
    Reason::TooLarge,
    Reason::IncompleteRequest,
    Reason::NoSuchService,
    Reason::UnknownKey,
    Reason::OverRate,
    Reason::Forbidden,
    Reason::TooDeep,
    Reason::NoConfig,
    Reason::Unreachable,
    Reason::Rejected,
    Reason::Replaced,
    Reason::IncompleteAnswer,
    Reason::Crashed,
    Reason::InvalidAnswer,
    Reason::QueryOfDeath,
    Reason::Timeout,
];

const SHED_REASONS: [Shed; 7] = [
    Shed::Overload,
    Shed::Limited,
    Shed::Downstream,
    Shed::Deadline,
    Shed::Cancelled,
    Shed::Leaving,
    Shed::Memory,
];

const ONCE_REASONS: [OnceRefusal; 11] = [
    OnceRefusal::NotOwned,
    OnceRefusal::OwnerLost,
    OnceRefusal::OwnerUnreachable,
    OnceRefusal::WrongOwner,
    OnceRefusal::Forgotten,
    OnceRefusal::BodyDiffers,
    OnceRefusal::OutcomeLost,
    OnceRefusal::Unseen,
    OnceRefusal::NoPlatform,
    OnceRefusal::LedgerFull,
    OnceRefusal::AnswerNotKept,
];

impl Reason {
    /// Returns the name used in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Shed(shed) => shed.as_str(),
            Self::Once(refusal) => refusal.as_str(),
            Self::BadRequest => "bad-request",
            Self::TooLarge => "body-too-large",
            Self::IncompleteRequest => "request-cut",
            Self::NoSuchService => "no-such-service",
            Self::UnknownKey => "unknown-key",
            Self::OverRate => "over-rate",
            Self::Forbidden => "class-not-allowed",
            Self::TooDeep => "chain-too-deep",
            Self::NoConfig => "no-configuration",
            Self::Unreachable => "unreachable",
            Self::Rejected => "server-refused",
            Self::Replaced => "instance-replaced",
            Self::IncompleteAnswer => "answer-cut",
            Self::Crashed => "server-crashed",
            Self::InvalidAnswer => "answer-garbled",
            Self::QueryOfDeath => "query-of-death",
            Self::Timeout => "timeout",
        }
    }

    /// Returns the status of the answer to the caller.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Shed(Shed::Deadline) | Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Shed(_)
            | Self::NoConfig
            | Self::Unreachable
            | Self::Rejected
            | Self::Replaced
            | Self::QueryOfDeath => StatusCode::SERVICE_UNAVAILABLE,
            Self::Once(OnceRefusal::BodyDiffers) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Once(
                OnceRefusal::Forgotten
                | OnceRefusal::OwnerLost
                | OnceRefusal::OutcomeLost
                | OnceRefusal::AnswerNotKept,
            ) => StatusCode::CONFLICT,
            Self::Once(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadRequest | Self::IncompleteRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoSuchService => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::IncompleteAnswer | Self::Crashed | Self::InvalidAnswer => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns whether the cause is overload.
    pub const fn is_overload(self) -> bool {
        matches!(self, Self::Shed(shed) if shed.is_overload())
    }

    /// Returns whether the same request may succeed later, since neither the request
    /// nor its caller is at fault.
    pub const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::Shed(_)
                | Self::NoConfig
                | Self::OverRate
                | Self::Unreachable
                | Self::Rejected
                | Self::Replaced
        )
    }

    /// Returns whether the other side sent no complete answer.
    pub const fn is_no_response(self) -> bool {
        matches!(self, Self::Unreachable | Self::IncompleteAnswer)
    }

    /// Returns whether an attempt at another backend server may succeed.
    pub const fn may_succeed_elsewhere(self) -> bool {
        matches!(
            self,
            Self::Shed(Shed::Leaving)
                | Self::Unreachable
                | Self::Rejected
                | Self::Replaced
                | Self::IncompleteAnswer
                | Self::Crashed
                | Self::InvalidAnswer
                | Self::NoConfig
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let shed = SHED_REASONS.into_iter().map(Self::Shed);
        let once = ONCE_REASONS.into_iter().map(Self::Once);
        PLAIN_REASONS
            .into_iter()
            .chain(shed)
            .chain(once)
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| Error::value("reason", format!("\"{text}\" is unknown")))
    }
}
