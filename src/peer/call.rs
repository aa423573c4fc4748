//! What both ways of calling another daemon share.

use std::time::Duration;

use crate::call::CallHead;
use crate::model::{RelayedNotice, Retries};
use crate::policy::crash::Suspect;
use crate::web::Payload;

/// How much longer than the deadline an answer is waited for, so that the
/// guard's own word on it can arrive.
pub(super) const ANSWER_SLACK: Duration = Duration::from_millis(20);
/// How long connecting may take.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest message, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// The path of plain calls.
pub(super) const CALL_PATH: &str = "/call";

/// A call on its way to another daemon.
#[derive(Debug)]
pub struct OutgoingCall<'c> {
    /// What travels with the call, but for its account.
    pub head: &'c CallHead,
    /// Retries lent to this attempt.
    pub granted_retries: Retries,
    /// The body.
    pub body: Payload,
    /// Whether the guard asks before it starts the call.
    pub needs_confirm: bool,
    /// What is known of crashes that the request was under way at.
    pub suspect: Option<Suspect>,
    /// What this side was told of the backend server that it goes to.
    pub notice: Option<RelayedNotice>,
    /// Whether it waits for the rate that the backend server named.
    pub may_wait: bool,
}
