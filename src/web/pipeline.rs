//! The requests of one connection, in the order in which they came.

use std::collections::VecDeque;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Request;
use http::request::Parts;
use http_body::Body;
use tokio::time::Instant;

use super::MAX_HEAD;
use super::early_head::parse_early_head;
use super::early_request::EarlyRequest;
use super::head_scanner::HeadScanner;
use super::stage::Stage;

/// Most bytes that are held of one connection ahead of their turn.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most reads whose moments are held.
const MAX_READ_TIMES: usize = 64;
/// Reads that are closer in time count as one.
const READ_MERGE_INTERVAL: Duration = Duration::from_millis(1);

/// The requests of one connection: the one in hand, which the server has or is
/// given, and those behind it.
///
/// Places are counted in bytes from the start of the connection.
#[derive(Debug)]
pub(super) struct Pipeline {
    /// Most requests under way at one time.
    limit: usize,
    stage: Stage,
    /// Whether the one in hand is answered.
    is_answered: bool,
    /// Whether the connection ends with the one in hand.
    is_last: bool,
    /// Whether those behind the one in hand wait until it is answered.
    blocks_next: bool,
    /// Where the one in hand begins.
    start: u64,
    /// When its head had come.
    arrived_at: Instant,
    /// Up to where the server has been given bytes.
    read_position: u64,
    /// Bytes behind that.
    buffer: BytesMut,
    /// Up to where each read went that brought them, and when it was.
    reads: VecDeque<(u64, Instant)>,
    /// Where the next head begins that was not begun, and how far its end was
    /// looked for.
    next_start: u64,
    scan_position: u64,
    scanner: HeadScanner,
    /// Whether that one has to wait for its turn.
    next_waits: bool,
    early_requests: VecDeque<EarlyRequest>,
    /// Wakes the connection, if bytes are held.
    waker: Option<Waker>,
}

/// A request behind the one in hand.
#[derive(Debug)]
pub(super) struct NextRequest {
    pub(super) start: u64,
    pub(super) head: Parts,
    pub(super) arrived_at: Instant,
}

impl Pipeline {
    /// Makes the pipeline of a new connection; with a limit of one or none
    /// nothing is read ahead.
    pub(super) fn new(limit: usize, now: Instant) -> Self {
        Self {
            limit,
            stage: if limit > 1 {
                Stage::new()
            } else {
                Stage::Unbounded
            },
            is_answered: false,
            is_last: false,
            blocks_next: false,
            start: 0,
            arrived_at: now,
            read_position: 0,
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

    /// Tells whether the server has the whole request in hand, so that what is
    /// read belongs to those behind it.
    pub(super) const fn reads_ahead(&self) -> bool {
        self.stage.is_whole()
    }

    /// Tells whether bytes are held that the server has not been given.
    pub(super) fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Tells whether more may be read ahead.
    pub(super) fn has_room(&self) -> bool {
        self.buffer.len() < MAX_BUFFERED_BYTES && self.reads.len() < MAX_READ_TIMES
    }

    /// Takes bytes that were read just now while the server wanted some;
    /// returns how many of them it may be given.
    pub(super) fn consume(&mut self, bytes: &[u8], now: Instant) -> usize {
        let count = self.stage.consume(bytes);
        self.record_read(count, now);
        if count < bytes.len() {
            self.push(&bytes[count..], now);
        }
        count
    }

    /// Gives bytes that were held, at most so many.
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
        bytes
    }

    /// Holds bytes that were read ahead.
    pub(super) fn push(&mut self, bytes: &[u8], now: Instant) {
        self.buffer.extend_from_slice(bytes);
        let end = self.read_position + self.buffer.len() as u64;
        match self.reads.back_mut() {
            Some((to, at)) if now.saturating_duration_since(*at) < READ_MERGE_INTERVAL => *to = end,
            _ => self.reads.push_back((end, now)),
        }
    }

    /// Takes note of what the server read of the request in hand; returns when
    /// its head had come, and the work on it if that was begun.
    pub(super) fn record_current<B: Body>(
        &mut self,
        request: &Request<B>,
        is_last: bool,
    ) -> (Instant, Option<EarlyRequest>) {
        if matches!(self.stage, Stage::Unbounded) {
            return (Instant::now(), None);
        }
        let length = request.body().size_hint().exact();
        self.stage = length.map_or(Stage::Unbounded, Stage::Body);
        // What is begun behind an unsafe request may miss what that one does.
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

    /// Takes note that the connection ends with the request in hand; those
    /// behind it count as not read.
    pub(super) fn end_connection(&mut self) {
        self.is_last = true;
        self.early_requests.clear();
    }

    /// Takes note that the request in hand is answered.
    pub(super) fn record_answer(&mut self) {
        self.is_answered = true;
        self.advance();
    }

    /// Tells whether requests behind the one in hand were begun.
    pub(super) fn has_early(&self) -> bool {
        !self.early_requests.is_empty()
    }

    /// Returns the next request that may be begun, if one has come and the
    /// limit leaves room.
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
        // What may be begun is small, and is copied once.
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

    /// Takes note of the work on the request that was returned last; `None` if
    /// it has to wait for its turn.
    pub(super) fn record_early(&mut self, start: u64, request: Option<EarlyRequest>) {
        match request {
            Some(request) => self.early_requests.push_back(request),
            None => {
                self.next_start = start;
                self.next_waits = true;
            }
        }
    }

    /// Has the connection woken once the server may be given more.
    pub(super) fn set_waker(&mut self, cx: &Context<'_>) {
        let is_same = self
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()));
        if self.has_buffered() && !is_same {
            self.waker = Some(cx.waker().clone());
        }
    }

    /// Takes note of bytes that the server was given, the last of which came
    /// at `came`.
    fn record_read(&mut self, count: usize, arrived_at: Instant) {
        self.read_position += count as u64;
        if matches!(self.stage, Stage::AwaitingLength) {
            self.arrived_at = arrived_at;
        }
        self.advance();
    }

    /// Goes on to the next request, if the one in hand is done with.
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

    fn scan_from(&mut self, position: u64) {
        self.next_start = position;
        self.scan_position = position;
        self.scanner = HeadScanner::default();
        self.next_waits = false;
    }

    /// Returns where a place is among the bytes that are held.
    fn buffer_index(&self, position: u64) -> usize {
        usize::try_from(position.saturating_sub(self.read_position)).unwrap_or(usize::MAX)
    }

    /// Returns when the byte before `end` came.
    fn arrival_of(&self, end: u64) -> Instant {
        let read = self.reads.iter().find(|(to, _)| *to >= end);
        read.map_or_else(Instant::now, |(_, at)| *at)
    }
}
