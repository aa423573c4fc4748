//! The headers between callers and the entry.

use std::time::Duration;

use http::{HeaderMap, HeaderName};

use crate::model::Span;

/// Says whether a call without an answer may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("bramleymount-verdict");
/// Says why a call has no answer.
pub const REASON: HeaderName = HeaderName::from_static("bramleymount-reason");
/// By which a caller says how long it waits, such as `250ms`.
pub const TIMEOUT: HeaderName = HeaderName::from_static("bramleymount-timeout");
/// By which a caller counts its attempts at one request, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("bramleymount-attempt");
/// Offers an idempotency key that can be used now.
pub const TICKET: HeaderName = HeaderName::from_static("bramleymount-ticket");

/// Longest time that a caller may wait.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Reads how long the caller waits.
///
/// # Errors
///
/// Returns what to write instead.
pub(super) fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, Box<str>> {
    let Some(value) = headers.get(&TIMEOUT) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("?");
    let span: Span = text
        .parse()
        .map_err(|e: crate::error::Error| Box::<str>::from(e))?;
    Ok(Some(span.get().min(MAX_TIMEOUT)))
}

/// Reads the caller's count of its attempts; what is no number is left out.
pub(super) fn attempt(headers: &HeaderMap) -> Option<u32> {
    headers.get(&ATTEMPT)?.to_str().ok()?.parse().ok()
}
