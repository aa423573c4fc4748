//! Client for plain requests to one daemon.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::call::{CALL_PATH, CONNECT_TIMEOUT};
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::http_head::BodyLength;
use super::http_stream::HttpStream;
use super::message::{PlainBody, encode_body, take_message};
use super::plain_pool::{PlainPool, RequestError};
use crate::policy::resource::Purpose;
use crate::web::{ChunkSender, Chunks, Dialer, IncompleteBody, Payload, Resources};

/// Timeout for the TCP acknowledgement of sent bytes. The daemon on the other VM
/// may be paused, but its network stack still acknowledges.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Error text for an answer that can't be held.
const NO_ROOM: &str = "no room for the answer";

/// Sends plain requests to one daemon.
#[derive(Clone, Debug)]
pub(super) struct PlainClient {
    connections: Arc<PlainPool>,
    /// The account of the answers that are read.
    resources: Resources,
}

impl PlainClient {
    /// Creates a client of the daemon at `address`, whose connections are bound to
    /// `local_ip`.
    pub(super) fn new(address: SocketAddr, local_ip: IpAddr, resources: Resources) -> Self {
        let dial = Dialer {
            address,
            local_ip: Some(local_ip),
            timeout: CONNECT_TIMEOUT,
            ack_timeout: Some(ACK_TIMEOUT),
        };
        Self {
            connections: Arc::new(PlainPool::new(dial)),
            resources,
        }
    }

    /// Sends a message and reads the reply.
    pub(super) async fn query<A: prost::Message + Default>(
        &self,
        path: &'static str,
        message: &impl prost::Message,
    ) -> Result<A, QueryError> {
        let failed = |cause: &dyn std::fmt::Display| QueryError::Failed(cause.to_string().into());
        let request = encode_body(message);
        let answer = self.connections.request(path, &request).await;
        let (answer, mut http) = answer.map_err(|e| QueryError::Failed(e.cause))?;
        let mut charge = self.resources.charge(Purpose::Answer);
        let body = http.read_body(answer.length, &mut charge).await;
        let body = body.map_err(|e| failed(&e))?;
        let mut body = body.ok_or_else(|| failed(&NO_ROOM))?;
        if answer.keep_alive {
            self.connections.put_back(http);
        }
        if answer.status == StatusCode::NOT_FOUND {
            return Err(QueryError::Unknown);
        }
        take_message(&mut body).map_err(|e| failed(&e))
    }

    /// Closes connections that were idle for too long.
    pub(super) fn trim(&self) {
        self.connections.trim();
    }

    /// Sends a call and reads its answer. A body of unknown length is returned as a
    /// stream.
    pub(super) async fn call(
        self,
        call: PlainBody,
    ) -> Result<(Option<AnswerPart>, Payload), RequestError> {
        let (answer, mut http) = self.connections.request(CALL_PATH, &call).await?;
        drop(call);
        if answer.length == BodyLength::Chunked {
            return read_stream(http).await;
        }
        let mut charge = self.resources.charge(Purpose::Answer);
        let whole = http.read_body(answer.length, &mut charge).await;
        let whole = whole.map_err(|e| RequestError::no_answer(&e))?;
        if answer.keep_alive {
            self.connections.put_back(http);
        }
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(RequestError::not_held());
        }
        let mut whole = whole.ok_or_else(|| RequestError::no_answer(&NO_ROOM))?;
        let frame: wire::AnswerFrame =
            take_message(&mut whole).map_err(|e| RequestError::no_answer(&e))?;
        Ok((frame.frame, Payload::Whole(whole)))
    }
}

/// Why a query failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum QueryError {
    /// The other daemon does not support this query.
    Unknown,
    /// The other daemon did not answer, or sent an invalid message.
    Failed(Box<str>),
}

impl std::fmt::Display for QueryError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown => f.write_str("the other daemon does not support this query"),
            Self::Failed(cause) => f.write_str(cause),
        }
    }
}

/// Reads the message of a chunked answer, whose connection is not reused.
async fn read_stream(mut http: HttpStream) -> Result<(Option<AnswerPart>, Payload), RequestError> {
    let first = http
        .next_chunk()
        .await
        .map_err(|e| RequestError::no_answer(&e))?;
    let mut first = first.unwrap_or_default();
    let frame: wire::AnswerFrame =
        take_message(&mut first).map_err(|e| RequestError::no_answer(&e))?;
    let (sender, chunks) = Chunks::channel();
    tokio::spawn(receive_chunks(http, first, sender));
    let length = None;
    Ok((frame.frame, Payload::Stream { length, chunks }))
}

/// Receives a streamed answer, which is complete if the last chunk arrives.
async fn receive_chunks(mut http: HttpStream, first: Bytes, to: ChunkSender) {
    if !first.is_empty() && to.send(Ok(first)).await.is_err() {
        return;
    }
    loop {
        let next = tokio::select! {
            next = http.next_chunk() => next,
            () = to.closed() => return,
        };
        let item = next
            .map(Option::unwrap_or_default)
            .map_err(|_| IncompleteBody);
        let last = !matches!(&item, Ok(chunk) if !chunk.is_empty());
        if to.send(item).await.is_err() || last {
            return;
        }
    }
}
