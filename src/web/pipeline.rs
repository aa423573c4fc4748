//! The requests of one connection, in order of arrival.

use std::collections::VecDeque;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Request;
use http::request::Parts;
use http_body::Body;
use tokio::time::Instant;

use super::activity::{ActivityGuard, ConnectionCounts};
use super::early_head::parse_early_head;
use super::early_request::EarlyRequest;
use super::head_scanner::HeadScanner;
use super::stage::Stage;
use super::{Charge, MAX_HEAD, UnsentAnswer};
use crate::policy::resource::Full;

/// Maximum number of bytes buffered for one connection.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum number of reads whose times are kept.
const MAX_READ_TIMES: usize = 64;
/// Memory that is held for a byte that was read and not parsed: buffers grow by doubling.
const BUFFER_FACTOR: usize = 2;
/// Reads closer together than this count as one.
const READ_MERGE_INTERVAL: Duration = Duration::from_millis(1);

/// The requests of one connection: the current one, which the HTTP server reads
/// and answers, and the pipelined ones after it.
///
/// Positions are in bytes from the start of the connection.
#[derive(Debug)]
pub(super) struct Pipeline {
    /// Maximum number of requests in progress.
    limit: usize,
    stage: Stage,
    /// Whether the current request is answered.
    is_answered: bool,
    /// Whether an answer is owed: from when the HTTP server has parsed the head of a
    /// request until it has taken the end of the answer.
    owes_answer: bool,
    /// The last answer that was decided, until all of it has been sent.
    unsent: Option<UnsentAnswer>,
    /// The memory of the current answer.
    answer_charge: Option<Charge>,
    /// The memory of earlier answers that the HTTP server has not sent completely.
    unsent_charges: Vec<Charge>,
    /// The memory of what was read and not parsed.
    read_charge: Charge,
    /// Whether the connection ends with the current request.
    is_last: bool,
    counts: ConnectionCounts,
    /// Counts this connection while it is busy or closing.
    counted: Option<ActivityGuard>,
    /// Whether later requests wait until the current one is answered.
    blocks_next: bool,
    /// Where the current request begins.
    start: u64,
    /// When the head of the current request was complete.
    arrived_at: Instant,
    /// End of the bytes that the server has read.
    read_position: u64,
    /// How far that was when the last request was answered.
    answered_position: u64,
    /// The bytes received after `read_position`.
    buffer: BytesMut,
    /// End and time of each read that filled the buffer.
    reads: VecDeque<(u64, Instant)>,
    /// Where the first request begins that isn't started yet.
    next_start: u64,
    /// How far its head has been scanned for its end.
    scan_position: u64,
    scanner: HeadScanner,
    /// Whether that request has to wait until it is the current one.
    next_waits: bool,
    /// Pipelined requests that were started, in order.
    early_requests: VecDeque<EarlyRequest>,
    /// Wakes the connection's task, if bytes are buffered.
    waker: Option<Waker>,
}

/// A pipelined request that may start early.
#[derive(Debug)]
pub(super) struct NextRequest {
    pub(super) start: u64,
    pub(super) head: Parts,
    pub(super) arrived_at: Instant,
}

impl Pipeline {
    /// Creates the pipeline of a new connection; nothing is read ahead if `limit` is
    /// 0 or 1. `read_charge` counts the memory of what is read.
    pub(super) fn new(
        limit: usize,
        now: Instant,
        counts: ConnectionCounts,
        read_charge: Charge,
    ) -> Self {
        Self {
            limit,
            stage: if limit > 1 {
                Stage::new()
            } else {
                Stage::Unbounded
            },
            is_answered: false,
            owes_answer: false,
            unsent: None,
            answer_charge: None,
            unsent_charges: Vec::new(),
            read_charge,
            is_last: false,
            counts,
            counted: None,
            blocks_next: false,
            start: 0,
            arrived_at: now,
            read_position: 0,
            answered_position: 0,
            buffer: BytesMut::new(),
            reads: VecDeque::new(),
            next_start: 0,
            scan_position: 0,
            scanner: HeadScanner::default(),
            next_waits: false,
            early_requests: VecDeque::new(),
            waker: None,
        }
    }

    /// Returns whether the server has read the whole current request, so that
    /// further bytes belong to later ones.
    pub(super) const fn reads_ahead(&self) -> bool {
        self.stage.is_whole()
    }

    /// Returns whether bytes are buffered that the server hasn't read.
    pub(super) fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether more may be read ahead.
    pub(super) fn has_room(&self) -> bool {
        self.buffer.len() < MAX_BUFFERED_BYTES && self.reads.len() < MAX_READ_TIMES
    }

    /// Accepts bytes just received for the server; returns how many of them it may
    /// read, and buffers the rest.
    ///
    /// # Errors
    ///
    /// Fails if there is no room to hold them.
    pub(super) fn consume(&mut self, bytes: &[u8], now: Instant) -> Result<usize, Full> {
        let count = self.stage.consume(bytes);
        self.record_read(count, now);
        if count < bytes.len() {
            self.push(&bytes[count..], now)?;
        } else {
            self.charge_unparsed()?;
        }
        Ok(count)
    }

    /// Takes buffered bytes for the server, at most `max_bytes`.
    pub(super) fn take(&mut self, max_bytes: usize) -> Bytes {
        let max_bytes = max_bytes.min(self.buffer.len());
        let count = self.stage.consume(&self.buffer[..max_bytes]);
        let arrived_at = self.arrival_of(self.read_position + count as u64);
        let bytes = self.buffer.split_to(count).freeze();
        self.record_read(count, arrived_at);
        while self
            .reads
            .front()
            .is_some_and(|(end, _)| *end <= self.read_position)
        {
            self.reads.pop_front();
        }
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        self.release_parsed();
        bytes
    }

    /// Charges what was read and belongs to no request that the server has parsed.
    fn charge_unparsed(&mut self) -> Result<(), Full> {
        let unparsed = self.unparsed().saturating_mul(BUFFER_FACTOR);
        self.read_charge.grow_to(unparsed)
    }

    fn release_parsed(&mut self) {
        if self.unparsed() == 0 {
            self.read_charge.clear();
        }
    }

    /// Returns how many bytes were read and not parsed.
    fn unparsed(&self) -> usize {
        let head = match self.owes_answer {
            true => 0,
            false => self.read_position - self.answered_position,
        };
        usize::try_from(head).unwrap_or(usize::MAX) + self.buffer.len()
    }

    /// Buffers bytes that were read ahead.
    ///
    /// # Errors
    ///
    /// Fails if there is no room to hold them.
    pub(super) fn push(&mut self, bytes: &[u8], now: Instant) -> Result<(), Full> {
        self.buffer.extend_from_slice(bytes);
        let end = self.read_position + self.buffer.len() as u64;
        match self.reads.back_mut() {
            Some((to, at)) if now.saturating_duration_since(*at) < READ_MERGE_INTERVAL => *to = end,
            _ => self.reads.push_back((end, now)),
        }
        self.charge_unparsed()
    }

    /// Records the current request once the server has parsed its head; returns when
    /// the head was complete, and the early request if it was started.
    pub(super) fn record_current<B: Body>(
        &mut self,
        request: &Request<B>,
        is_last: bool,
    ) -> (Instant, Option<EarlyRequest>) {
        if self.counted.is_none() {
            self.counted = Some(self.counts.busy.begin());
        }
        self.owes_answer = true;
        self.release_parsed();
        if matches!(self.stage, Stage::Unbounded) {
            return (Instant::now(), None);
        }
        let length = request.body().size_hint().exact();
        self.stage = length.map_or(Stage::Unbounded, Stage::Body);
        // A request started early might miss the effects of an unsafe one before it.
        self.blocks_next = !request.method().is_safe();
        if is_last {
            self.end_connection();
        }
        let early = self.early_requests.pop_front();
        (
            self.arrived_at,
            early.filter(|early| early.matches(self.start, request)),
        )
    }

    /// Ends the connection after the current request; later ones are cancelled and
    /// count as not received.
    pub(super) fn end_connection(&mut self) {
        self.is_last = true;
        self.early_requests.clear();
    }

    /// Records the answer to the current request before any of it is sent.
    pub(super) fn record_decided(&mut self, answer: UnsentAnswer, charge: Charge) {
        self.unsent = Some(answer);
        self.answer_charge = Some(charge);
    }

    /// Returns whether no request waits for its answer.
    pub(super) const fn is_idle(&self) -> bool {
        !self.owes_answer
    }

    /// Returns whether the answer to the current request isn't decided.
    pub(super) fn is_undecided(&self) -> bool {
        self.owes_answer && self.unsent.is_none()
    }

    /// Records that the body of the answer ended before it was complete.
    pub(super) fn record_incomplete(&mut self) {
        if let Some(answer) = &mut self.unsent {
            answer.is_incomplete = true;
        }
    }

    /// Takes the answer that has not been sent completely when the connection ends.
    pub(super) fn take_unsent(&mut self) -> Option<UnsentAnswer> {
        self.unsent.take()
    }

    /// Records that the current request is answered.
    pub(super) fn record_answer(&mut self) {
        self.is_answered = true;
        self.owes_answer = false;
        self.answered_position = self.read_position;
        self.unsent_charges.extend(self.answer_charge.take());
        self.advance();
    }

    /// Records that the HTTP server has nothing left to send.
    pub(super) fn record_flush(&mut self) {
        self.unsent_charges.clear();
        if self.owes_answer || self.counted.is_none() {
            return;
        }
        if self
            .unsent
            .as_ref()
            .is_some_and(|answer| !answer.is_incomplete)
        {
            self.unsent = None;
        }
        if self.is_last {
            self.counted = Some(self.counts.closing.begin());
        } else if !self.has_buffered() {
            self.counted = None;
        }
    }

    /// Returns the next request that may start early, if one has arrived and the
    /// limit permits it.
    pub(super) fn next_early(&mut self) -> Option<NextRequest> {
        let has_capacity = self.early_requests.len() + 1 < self.limit;
        if self.is_last || self.blocks_next || !has_capacity || !self.has_buffered() {
            return None;
        }
        if self.next_start < self.read_position {
            self.scan_from(self.read_position);
        }
        if self.next_waits {
            return None;
        }
        let from = self.buffer_index(self.scan_position);
        let Some(count) = self.scanner.find_end(&self.buffer[from..]) else {
            self.scan_position = self.read_position + self.buffer.len() as u64;
            self.next_waits = self.scan_position - self.next_start > MAX_HEAD as u64;
            return None;
        };
        let end = self.scan_position + count as u64;
        let head = &self.buffer[self.buffer_index(self.next_start)..from + count];
        // Heads that may start early are small; each is copied once.
        let head = (head.len() <= MAX_HEAD).then(|| Bytes::copy_from_slice(head));
        let Some(head) = head.as_ref().and_then(parse_early_head) else {
            self.next_waits = true;
            return None;
        };
        let (start, arrived_at) = (self.next_start, self.arrival_of(end));
        self.scan_from(end);
        Some(NextRequest {
            start,
            head,
            arrived_at,
        })
    }

    /// Records the start of the request that `next_early` returned last; `None` if
    /// it has to wait until it is the current one.
    pub(super) fn record_early(&mut self, start: u64, request: Option<EarlyRequest>) {
        match request {
            Some(request) => self.early_requests.push_back(request),
            None => {
                self.next_start = start;
                self.next_waits = true;
            }
        }
    }

    /// Registers the task to wake once the server may read more.
    pub(super) fn set_waker(&mut self, cx: &Context<'_>) {
        let is_same = self
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()));
        if self.has_buffered() && !is_same {
            self.waker = Some(cx.waker().clone());
        }
    }

    /// Records that the server read `count` bytes, the last of which arrived at
    /// `arrived_at`.
    fn record_read(&mut self, count: usize, arrived_at: Instant) {
        self.read_position += count as u64;
        if matches!(self.stage, Stage::AwaitingLength) {
            self.arrived_at = arrived_at;
        }
        self.advance();
    }

    /// Moves on to the next request, if the current one is read and answered.
    fn advance(&mut self) {
        if !self.is_answered || !self.stage.is_whole() {
            return;
        }
        self.is_answered = false;
        self.stage = Stage::new();
        self.start = self.read_position;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Restarts the scan for the next head at `position`.
    fn scan_from(&mut self, position: u64) {
        self.next_start = position;
        self.scan_position = position;
        self.scanner = HeadScanner::default();
        self.next_waits = false;
    }

    /// Returns the index in the buffer of a position.
    fn buffer_index(&self, position: u64) -> usize {
        usize::try_from(position.saturating_sub(self.read_position)).unwrap_or(usize::MAX)
    }

    /// Returns when the byte before `end` arrived.
    fn arrival_of(&self, end: u64) -> Instant {
        let read = self.reads.iter().find(|(to, _)| *to >= end);
        read.map_or_else(Instant::now, |(_, at)| *at)
    }
}
