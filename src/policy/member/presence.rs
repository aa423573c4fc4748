//! Which run of the backend server stands behind a guard.

use std::collections::VecDeque;

use crate::model::{Born, RunId, ServerId, Slots};

/// Runs that are remembered as gone, so that late news of them is known to be
/// old. A VM sees a few runs a day.
const MAX_GONE: usize = 64;

/// Whether a backend server takes calls, as it announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// It takes calls.
    Serve,
    /// It is about to stop.
    Leave,
}

/// One announcement of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The server that announces itself.
    pub server: ServerId,
    /// When this run of it started, if it says so; a server may start again
    /// under its id.
    pub start: Option<Born>,
    /// Whether it takes calls.
    pub intent: Intent,
    /// Calls that it runs at one time.
    pub slots: Slots,
    /// Whether it is still slow after its start.
    pub cold: bool,
    /// Orders the announcements of one run.
    pub sequence: u64,
}

/// What an announcement changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// Another run has taken the place.
    Arrived,
    /// The run that was leaving stays after all.
    Resumed,
    /// The same run is still there.
    Renewed,
    /// The run takes no new calls.
    Leaving,
    /// The announcement is older than what is known.
    Stale,
}

/// One run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    server: ServerId,
    start: Option<Born>,
}

impl Run {
    fn id(&self) -> RunId {
        RunId::of(&self.server, self.start)
    }

    /// Tells whether this run is of the same server and started later, by what
    /// both say of their start.
    fn follows(&self, other: &Self) -> bool {
        let later = matches!((self.start, other.start), (Some(own), Some(born)) if own > born);
        later && self.server == other.server
    }
}

#[derive(Clone, Debug)]
struct Present {
    run: Run,
    sequence: u64,
    intent: Intent,
    /// Whether it said with an answer that it leaves, which holds to its end:
    /// announcements come late, and older ones may say otherwise.
    leaving: bool,
}

/// Orders announcements that may come late, twice or from a run that is gone.
///
/// Runs are told apart by the id of the server and, where it says so, by their
/// start: of two runs with one id the later holds, and the earlier is gone.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    present: Option<Present>,
    gone: VecDeque<Run>,
}

impl Presence {
    /// Returns the server that is present.
    pub fn server(&self) -> Option<&ServerId> {
        self.present.as_ref().map(|present| &present.run.server)
    }

    /// Returns the run that is present.
    pub fn run(&self) -> Option<RunId> {
        self.present.as_ref().map(|present| present.run.id())
    }

    /// Tells whether the present run leaves for good: it said so with an answer,
    /// or has said goodbye.
    pub fn is_leaving(&self) -> bool {
        let mut present = self.present.iter();
        present.any(|present| present.leaving || self.gone.contains(&present.run))
    }

    /// Takes note that a run said with an answer that it leaves; returns whether
    /// that is news of the run that is present.
    pub fn record_leaving(&mut self, run: RunId) -> bool {
        let Some(present) = &mut self.present else {
            return false;
        };
        let is_news = present.run.id() == run && !present.leaving;
        if is_news {
            present.leaving = true;
            present.intent = Intent::Leave;
        }
        is_news
    }

    /// Takes an announcement.
    pub fn announce(&mut self, news: &Announcement) -> AnnouncementEffect {
        let run = Run {
            server: news.server.clone(),
            start: news.start,
        };
        if self.is_gone(&run) {
            return AnnouncementEffect::Stale;
        }
        let last = self.present.as_ref();
        let same = last.filter(|last| last.run.server == run.server && !run.follows(&last.run));
        if same.is_some_and(|last| last.run.follows(&run) || news.sequence <= last.sequence) {
            return AnnouncementEffect::Stale;
        }
        let before = same.map(|last| last.intent);
        let leaving = same.is_some_and(|last| last.leaving);
        let intent = if leaving { Intent::Leave } else { news.intent };
        if before.is_none()
            && let Some(replaced) = self.present.take()
        {
            self.retire(replaced.run);
        }
        self.present = Some(Present {
            run,
            sequence: news.sequence,
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

    /// Takes note that a server has said goodbye, and of which run if it told;
    /// returns whether it was the one that is present.
    pub fn record_departure(&mut self, server: &ServerId, start: Option<Born>) -> bool {
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

    /// Takes note that a call meant for `server` met another one at its
    /// address, with its id if it told.
    pub fn record_mismatch(&mut self, server: &ServerId, found: Option<&ServerId>) {
        if let Some(found) = found {
            self.gone.retain(|gone| gone.server != *found);
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

    /// Tells whether the run that is present takes calls.
    pub fn is_serving(&self) -> bool {
        self.present.as_ref().is_some_and(|present| {
            present.intent == Intent::Serve && !self.gone.contains(&present.run)
        })
    }

    /// Tells whether a run is gone: one that is buried, or one of a buried
    /// server that did not start later.
    fn is_gone(&self, run: &Run) -> bool {
        let mut same = self.gone.iter().filter(|gone| gone.server == run.server);
        same.any(|gone| !run.follows(gone))
    }

    /// Buries a run that is not present. Where its start is not known, it is
    /// taken to have started before the present one.
    fn retire_unseen(&mut self, run: Run) {
        let known = self.gone.iter().any(|gone| gone.server == run.server);
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
        if self.gone.contains(&run) {
            return;
        }
        self.gone.push_back(run);
        if self.gone.len() > MAX_GONE {
            self.gone.pop_front();
        }
    }
}
