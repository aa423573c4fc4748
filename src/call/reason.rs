//! Why a call has no answer of a backend server.

use std::fmt;
use std::str::FromStr;

use http::StatusCode;

use crate::error::Error;
use crate::policy::admission::Shed;
use crate::policy::once::OnceRefusal;

/// Why a call has no answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It was shed.
    Shed(Shed),
    /// It must run at most once, and that could not be ensured.
    Once(OnceRefusal),
    /// The call is not well formed.
    BadRequest,
    /// The body is larger than is taken.
    TooLarge,
    /// The body ended before its end.
    IncompleteRequest,
    /// No such service is declared.
    NoSuchService,
    /// No workspace has the caller's key, or it sent none.
    UnknownKey,
    /// The workspace has made all requests that it may make for now.
    OverRate,
    /// The caller may not use this class.
    Forbidden,
    /// The chain of calls is too deep.
    TooDeep,
    /// The daemon has no configuration yet.
    NoConfig,
    /// No backend server of the service can be reached.
    Unreachable,
    /// The backend server itself refused it without running it.
    Rejected,
    /// The instance that was meant has been replaced by another.
    Replaced,
    /// The connection was lost before the answer was whole.
    IncompleteAnswer,
    /// The backend server crashed while it ran the call.
    Crashed,
    /// The answer made no sense.
    InvalidAnswer,
    /// It crashes the backend servers that run it.
    QueryOfDeath,
    /// The deadline passed.
    Timeout,
}

const PLAIN: [Reason; 17] = [
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

const SHED: [Shed; 6] = [
    Shed::Overload,
    Shed::Limited,
    Shed::Downstream,
    Shed::Deadline,
    Shed::Cancelled,
    Shed::Leaving,
];

const ONCE: [OnceRefusal; 11] = [
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
    /// Returns the text that stands in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Shed(shed) => shed.as_str(),
            Self::Once(refuse) => refuse.as_str(),
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

    /// Tells whether the cause is that there is more work than capacity.
    pub const fn is_overload(self) -> bool {
        matches!(self, Self::Shed(shed) if shed.is_overload())
    }

    /// Tells whether the cause lies with neither the request nor its caller, so
    /// that the same request may fare better later.
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

    /// Tells whether nothing was heard of the other side.
    pub const fn is_no_response(self) -> bool {
        matches!(self, Self::Unreachable | Self::IncompleteAnswer)
    }

    /// Tells whether another attempt elsewhere may fare better.
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
        let shed = SHED.into_iter().map(Self::Shed);
        let once = ONCE.into_iter().map(Self::Once);
        PLAIN
            .into_iter()
            .chain(shed)
            .chain(once)
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| Error::value("reason", format!("\"{text}\" is not known")))
    }
}
