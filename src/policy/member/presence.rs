//! The run of the backend server behind a guard.

use std::collections::VecDeque;

use crate::model::{RunId, ServerId, ServerStart, Slots};

/// Number of ended runs to remember, so that late announcements of them are
/// recognized as stale. A VM sees a few runs a day.
const MAX_RETIRED: usize = 64;

/// Whether a backend server accepts calls, by its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// It accepts calls.
    Serve,
    /// It is about to stop.
    Leave,
}

/// One announcement of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The server that sent it.
    pub server: ServerId,
    /// When this run started, if announced; a server may restart under its id.
    pub start: Option<ServerStart>,
    /// Whether it accepts calls.
    pub intent: Intent,
    /// Number of concurrent calls.
    pub slots: Slots,
    /// Whether it is still warming up after its start.
    pub cold: bool,
    /// The order among the announcements of one run.
    pub sequence: u64,
}

/// The effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// A new run has replaced the present one, if any.
    Arrived,
    /// The run had announced that it leaves, and accepts calls again.
    Resumed,
    /// The present run still accepts calls.
    Renewed,
    /// The run accepts no new calls.
    Leaving,
    /// The announcement is outdated.
    Stale,
}

/// One run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    server: ServerId,
    start: Option<ServerStart>,
}

impl Run {
    fn id(&self) -> RunId {
        RunId::of(&self.server, self.start)
    }

    /// Returns whether this run is of the same server and started later; `false`
    /// if either start is unknown.
    fn follows(&self, other: &Self) -> bool {
        let later = matches!((self.start, other.start), (Some(own), Some(other)) if own > other);
        later && self.server == other.server
    }
}

#[derive(Clone, Debug)]
struct Present {
    run: Run,
    sequence: u64,
    intent: Intent,
    /// Whether an answer of the run reported that it leaves. This is final, since
    /// announcements may be late and older ones may contradict it.
    leaving: bool,
}

/// Orders announcements that may be late, duplicated or from an ended run.
///
/// Runs are distinguished by the server's id and, if announced, by their start.
/// Of two runs with the same id, the earlier one has ended.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    present: Option<Present>,
    retired: VecDeque<Run>,
}

impl Presence {
    /// Returns the present server.
    pub fn server(&self) -> Option<&ServerId> {
        self.present.as_ref().map(|present| &present.run.server)
    }

    /// Returns the present run.
    pub fn run(&self) -> Option<RunId> {
        self.present.as_ref().map(|present| present.run.id())
    }

    /// Returns whether the present run is leaving permanently, by one of its
    /// answers or because it has departed.
    pub fn is_leaving(&self) -> bool {
        let mut present = self.present.iter();
        present.any(|present| present.leaving || self.retired.contains(&present.run))
    }

    /// Records that an answer of a run reported that it leaves; returns whether
    /// this changed the present run.
    pub fn record_leaving(&mut self, run: RunId) -> bool {
        let Some(present) = &mut self.present else {
            return false;
        };
        let is_new = present.run.id() == run && !present.leaving;
        if is_new {
            present.leaving = true;
            present.intent = Intent::Leave;
        }
        is_new
    }

    /// Applies an announcement.
    pub fn announce(&mut self, announcement: &Announcement) -> AnnouncementEffect {
        let run = Run {
            server: announcement.server.clone(),
            start: announcement.start,
        };
        if self.has_ended(&run) {
            return AnnouncementEffect::Stale;
        }
        let last = self.present.as_ref();
        let same = last.filter(|last| last.run.server == run.server && !run.follows(&last.run));
        if same.is_some_and(|last| last.run.follows(&run) || announcement.sequence <= last.sequence)
        {
            return AnnouncementEffect::Stale;
        }
        let before = same.map(|last| last.intent);
        let leaving = same.is_some_and(|last| last.leaving);
        let intent = if leaving {
            Intent::Leave
        } else {
            announcement.intent
        };
        if before.is_none()
            && let Some(replaced) = self.present.take()
        {
            self.retire(replaced.run);
        }
        self.present = Some(Present {
            run,
            sequence: announcement.sequence,
            intent,
            leaving,
        });
        match (intent, before) {
            (Intent::Leave, _) => AnnouncementEffect::Leaving,
            (Intent::Serve, Some(Intent::Serve)) => AnnouncementEffect::Renewed,
            (Intent::Serve, Some(Intent::Leave)) => AnnouncementEffect::Resumed,
            (Intent::Serve, None) => AnnouncementEffect::Arrived,
        }
    }

    /// Records that a server has departed, with the start of its run if known;
    /// returns whether it was the present run.
    pub fn record_departure(&mut self, server: &ServerId, start: Option<ServerStart>) -> bool {
        let departed = Run {
            server: server.clone(),
            start,
        };
        let present = self.present.as_ref().map(|present| present.run.clone());
        match present.filter(|run| run.server == *server) {
            Some(run) if run.follows(&departed) => false,
            Some(run) => {
                self.retire(run);
                true
            }
            None => {
                self.retire_unseen(departed);
                false
            }
        }
    }

    /// Records that a call for `server` reached another server at its address,
    /// with the id of that one if known.
    pub fn record_mismatch(&mut self, server: &ServerId, found: Option<&ServerId>) {
        if let Some(found) = found {
            self.retired.retain(|retired| retired.server != *found);
        }
        match self
            .present
            .take_if(|present| present.run.server == *server)
        {
            Some(present) => self.retire(present.run),
            None => self.retire_unseen(Run {
                server: server.clone(),
                start: None,
            }),
        }
    }

    /// Returns whether the present run accepts calls.
    pub fn is_serving(&self) -> bool {
        self.present.as_ref().is_some_and(|present| {
            present.intent == Intent::Serve && !self.retired.contains(&present.run)
        })
    }

    /// Returns whether a run has ended: it was retired, or it is of a server with
    /// a retired run and is not known to have started later.
    fn has_ended(&self, run: &Run) -> bool {
        let mut same = self
            .retired
            .iter()
            .filter(|retired| retired.server == run.server);
        same.any(|retired| !run.follows(retired))
    }

    /// Retires a run that is not present. If its start is unknown, the start of
    /// the present run is used as an upper bound.
    fn retire_unseen(&mut self, run: Run) {
        let known = self
            .retired
            .iter()
            .any(|retired| retired.server == run.server);
        if known && run.start.is_none() {
            return;
        }
        let present = self.present.as_ref().and_then(|present| present.run.start);
        self.retire(Run {
            start: run.start.or(present),
            ..run
        });
    }

    fn retire(&mut self, run: Run) {
        if self.retired.contains(&run) {
            return;
        }
        self.retired.push_back(run);
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
    }
}
