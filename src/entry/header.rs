//! Headers of the entry's answers to callers.

use http::HeaderName;

/// Says whether a call without an answer may have run.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("bramleymount-verdict");
/// Says why a call has no answer.
pub const REASON_HEADER: HeaderName = HeaderName::from_static("bramleymount-reason");
/// Offers an idempotency key that can be used now.
pub const TICKET_HEADER: HeaderName = HeaderName::from_static("bramleymount-ticket");
