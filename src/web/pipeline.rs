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
use super::begun::Begun;
use super::head_end::HeadEnd;
use super::next_head::read_plain;
use super::stage::Stage;

/// Most bytes that are held of one connection ahead of their turn.
const MOST_HELD: usize = 64 * 1024;
/// Most reads whose moments are held.
const MOST_READS: usize = 64;
/// Reads that are closer in time count as one.
const SAME_TIME: Duration = Duration::from_millis(1);

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
    answered: bool,
    /// Whether the connection ends with the one in hand.
    is_last: bool,
    /// Whether those behind the one in hand wait until it is answered.
    is_alone: bool,
    /// Where the one in hand begins.
    start: u64,
    /// When its head had come.
    came: Instant,
    /// Up to where the server has been given bytes.
    given: u64,
    /// Bytes behind that.
    held: BytesMut,
    /// Up to where each read went that brought them, and when it was.
    reads: VecDeque<(u64, Instant)>,
    /// Where the next head begins that was not begun, and how far its end was
    /// looked for.
    next: u64,
    looked: u64,
    end: HeadEnd,
    /// Whether that one has to wait for its turn.
    waits: bool,
    begun: VecDeque<Begun>,
    /// Wakes the connection, if bytes are held.
    waker: Option<Waker>,
}

/// A request behind the one in hand.
#[derive(Debug)]
pub(super) struct Next {
    pub(super) start: u64,
    pub(super) head: Parts,
    pub(super) came: Instant,
}

impl Pipeline {
    /// Makes the pipeline of a new connection; with a limit of one or none
    /// nothing is read ahead.
    pub(super) fn new(limit: usize, now: Instant) -> Self {
        Self {
            limit,
            stage: if limit > 1 { Stage::new() } else { Stage::Open },
            answered: false,
            is_last: false,
            is_alone: false,
            start: 0,
            came: now,
            given: 0,
            held: BytesMut::new(),
            reads: VecDeque::new(),
            next: 0,
            looked: 0,
            end: HeadEnd::default(),
            waits: false,
            begun: VecDeque::new(),
            waker: None,
        }
    }

    /// Tells whether the server has the whole request in hand, so that what is
    /// read belongs to those behind it.
    pub(super) const fn reads_ahead(&self) -> bool {
        self.stage.is_whole()
    }

    /// Tells whether bytes are held that the server has not been given.
    pub(super) fn has_held(&self) -> bool {
        !self.held.is_empty()
    }

    /// Tells whether more may be read ahead.
    pub(super) fn has_room(&self) -> bool {
        self.held.len() < MOST_HELD && self.reads.len() < MOST_READS
    }

    /// Takes bytes that were read just now while the server wanted some;
    /// returns how many of them it may be given.
    pub(super) fn pass(&mut self, bytes: &[u8], now: Instant) -> usize {
        let count = self.stage.pass(bytes);
        self.gave(count, now);
        if count < bytes.len() {
            self.hold(&bytes[count..], now);
        }
        count
    }

    /// Gives bytes that were held, at most so many.
    pub(super) fn give(&mut self, most: usize) -> Bytes {
        let most = most.min(self.held.len());
        let count = self.stage.pass(&self.held[..most]);
        let came = self.came_at(self.given + count as u64);
        let bytes = self.held.split_to(count).freeze();
        self.gave(count, came);
        while self
            .reads
            .front()
            .is_some_and(|(end, _)| *end <= self.given)
        {
            self.reads.pop_front();
        }
        if self.held.is_empty() {
            self.held = BytesMut::new();
        }
        bytes
    }

    /// Holds bytes that were read ahead.
    pub(super) fn hold(&mut self, bytes: &[u8], now: Instant) {
        self.held.extend_from_slice(bytes);
        let end = self.given + self.held.len() as u64;
        match self.reads.back_mut() {
            Some((to, at)) if now.saturating_duration_since(*at) < SAME_TIME => *to = end,
            _ => self.reads.push_back((end, now)),
        }
    }

    /// Takes note of what the server read of the request in hand; returns when
    /// its head had come, and the work on it if that was begun.
    pub(super) fn read<B: Body>(
        &mut self,
        request: &Request<B>,
        is_last: bool,
    ) -> (Instant, Option<Begun>) {
        if matches!(self.stage, Stage::Open) {
            return (Instant::now(), None);
        }
        let length = request.body().size_hint().exact();
        self.stage = length.map_or(Stage::Open, Stage::Body);
        // What is begun behind an unsafe request may miss what that one does.
        self.is_alone = !request.method().is_safe();
        if is_last {
            self.end_here();
        }
        let begun = self.begun.pop_front();
        (
            self.came,
            begun.filter(|begun| begun.is_of(self.start, request)),
        )
    }

    /// Takes note that the connection ends with the request in hand; those
    /// behind it count as not read.
    pub(super) fn end_here(&mut self) {
        self.is_last = true;
        self.begun.clear();
    }

    /// Takes note that the request in hand is answered.
    pub(super) fn answered(&mut self) {
        self.answered = true;
        self.turn();
    }

    /// Tells whether requests behind the one in hand were begun.
    pub(super) fn has_begun(&self) -> bool {
        !self.begun.is_empty()
    }

    /// Returns the next request that may be begun, if one has come and the
    /// limit leaves room.
    pub(super) fn next(&mut self) -> Option<Next> {
        let has_place = self.begun.len() + 1 < self.limit;
        if self.is_last || self.is_alone || !has_place || !self.has_held() {
            return None;
        }
        if self.next < self.given {
            self.look_from(self.given);
        }
        if self.waits {
            return None;
        }
        let from = self.offset(self.looked);
        let Some(count) = self.end.find(&self.held[from..]) else {
            self.looked = self.given + self.held.len() as u64;
            self.waits = self.looked - self.next > MAX_HEAD as u64;
            return None;
        };
        let end = self.looked + count as u64;
        let head = &self.held[self.offset(self.next)..from + count];
        // What may be begun is small, and is copied once.
        let head = (head.len() <= MAX_HEAD).then(|| Bytes::copy_from_slice(head));
        let Some(head) = head.as_ref().and_then(read_plain) else {
            self.waits = true;
            return None;
        };
        let (start, came) = (self.next, self.came_at(end));
        self.look_from(end);
        Some(Next { start, head, came })
    }

    /// Takes note of the work on the request that was returned last; `None` if
    /// it has to wait for its turn.
    pub(super) fn began(&mut self, start: u64, work: Option<Begun>) {
        match work {
            Some(work) => self.begun.push_back(work),
            None => {
                self.next = start;
                self.waits = true;
            }
        }
    }

    /// Has the connection woken once the server may be given more.
    pub(super) fn wake_later(&mut self, cx: &Context<'_>) {
        let is_same = self
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()));
        if self.has_held() && !is_same {
            self.waker = Some(cx.waker().clone());
        }
    }

    /// Takes note of bytes that the server was given, the last of which came
    /// at `came`.
    fn gave(&mut self, count: usize, came: Instant) {
        self.given += count as u64;
        if matches!(self.stage, Stage::Told) {
            self.came = came;
        }
        self.turn();
    }

    /// Goes on to the next request, if the one in hand is done with.
    fn turn(&mut self) {
        if !self.answered || !self.stage.is_whole() {
            return;
        }
        self.answered = false;
        self.stage = Stage::new();
        self.start = self.given;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn look_from(&mut self, place: u64) {
        self.next = place;
        self.looked = place;
        self.end = HeadEnd::default();
        self.waits = false;
    }

    /// Returns where a place is among the bytes that are held.
    fn offset(&self, place: u64) -> usize {
        usize::try_from(place.saturating_sub(self.given)).unwrap_or(usize::MAX)
    }

    /// Returns when the byte before `end` came.
    fn came_at(&self, end: u64) -> Instant {
        let read = self.reads.iter().find(|(to, _)| *to >= end);
        read.map_or_else(Instant::now, |(_, at)| *at)
    }
}
