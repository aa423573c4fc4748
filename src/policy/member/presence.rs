//! Which run of the backend server stands behind a guard.

use std::collections::VecDeque;

use crate::model::{ServerId, Slots};

/// Runs that are remembered as gone, so that late news of them is known to be
/// old. A VM sees a few runs a day.
const GONE: usize = 64;

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
    /// The run that announces itself.
    pub server: ServerId,
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
pub enum Presented {
    /// Another run has taken the place, or one that was leaving stays.
    Arrived,
    /// The same run is still there.
    Renewed,
    /// The run takes no new calls.
    Leaving,
    /// The announcement is older than what is known.
    Old,
}

#[derive(Clone, Debug)]
struct Present {
    server: ServerId,
    sequence: u64,
    intent: Intent,
}

/// Orders announcements that may come late, twice or from a run that is gone.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    present: Option<Present>,
    gone: VecDeque<ServerId>,
}

impl Presence {
    /// Returns the run that is present.
    pub fn server(&self) -> Option<&ServerId> {
        self.present.as_ref().map(|present| &present.server)
    }

    /// Takes an announcement.
    pub fn announce(&mut self, news: &Announcement) -> Presented {
        if self.gone.contains(&news.server) {
            return Presented::Old;
        }
        let same = self
            .present
            .as_ref()
            .is_some_and(|present| present.server == news.server);
        let last = self.present.as_ref().filter(|_| same);
        if last.is_some_and(|last| news.sequence <= last.sequence) {
            return Presented::Old;
        }
        let before = last.map(|last| last.intent);
        if !same && let Some(replaced) = self.present.take() {
            self.bury(replaced.server);
        }
        self.present = Some(Present {
            server: news.server.clone(),
            sequence: news.sequence,
            intent: news.intent,
        });
        match (news.intent, before) {
            (Intent::Leave, _) => Presented::Leaving,
            (Intent::Serve, Some(Intent::Serve)) => Presented::Renewed,
            (Intent::Serve, Some(Intent::Leave) | None) => Presented::Arrived,
        }
    }

    /// Takes note that a run has said goodbye; returns whether it was the one
    /// that is present.
    pub fn depart(&mut self, server: &ServerId) -> bool {
        self.bury(server.clone());
        self.server() == Some(server)
    }

    /// Takes note that a call meant for `server` met another run at its
    /// address, with its id if it told.
    pub fn displaced(&mut self, server: &ServerId, found: Option<&ServerId>) {
        if let Some(found) = found {
            self.gone.retain(|gone| gone != found);
        }
        if self.server() == Some(server) {
            self.present = None;
        }
        self.bury(server.clone());
    }

    /// Tells whether the run that is present takes calls.
    pub fn serves(&self) -> bool {
        self.present.as_ref().is_some_and(|present| {
            present.intent == Intent::Serve && !self.gone.contains(&present.server)
        })
    }

    fn bury(&mut self, server: ServerId) {
        if self.gone.contains(&server) {
            return;
        }
        self.gone.push_back(server);
        if self.gone.len() > GONE {
            self.gone.pop_front();
        }
    }
}
