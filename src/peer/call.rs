//! Items shared by streamed and plain calls to other daemons.

use std::time::Duration;

use crate::call::CallHead;
use crate::model::{RelayedNotice, Retries};
use crate::policy::crash::Suspect;
use crate::web::Payload;

/// Time to wait for an answer after the deadline, so that the guard's own
/// refusal can arrive.
pub(super) const ANSWER_SLACK: Duration = Duration::from_millis(60);
/// Timeout for connecting.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a message.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// The path of plain calls.
pub(super) const CALL_PATH: &str = "/call";

/// A call to another daemon.
#[derive(Debug)]
pub struct OutgoingCall<'c> {
    /// The head of the call, without its granted retries.
    pub head: &'c CallHead,
    /// Retries granted to this attempt.
    pub granted_retries: Retries,
    /// The body.
    pub body: Payload,
    /// Whether the guard requests confirmation before it starts the call.
    pub needs_confirm: bool,
    /// Record of crashes during which the request was in flight.
    pub suspect: Option<Suspect>,
    /// The last known notice of the target backend server.
    pub notice: Option<RelayedNotice>,
    /// Whether the call may wait for the rate requested by the backend server.
    pub may_wait: bool,
}
