//! Items shared by streamed and plain calls to other daemons.

use std::time::Duration;

use crate::call::CallHead;
use crate::model::{RelayedNotice, Retries};
use crate::policy::crash::Suspect;
use crate::web::{MAX_WHOLE_BODY, Payload};

/// Time to wait for an answer after the deadline, so that the guard's own
/// refusal can arrive.
pub(super) const ANSWER_SLACK: Duration = Duration::from_millis(60);
/// Timeout for connecting.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a message.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Flow control window of a stream, in bytes: a whole body fits.
pub(super) const STREAM_WINDOW: u32 = MAX_WHOLE_BODY as u32;
/// Flow control window of a connection, in bytes; so large that bodies which nobody reads
/// can't use it up, which would block all others. The account of the daemon limits them.
pub(super) const CONNECTION_WINDOW: u32 = 1024 * 1024 * 1024;
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
