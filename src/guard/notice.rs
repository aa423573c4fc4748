//! What the backend server says of itself with its answers.

use tokio::time::Instant;

use super::Guard;
use crate::model::{GuardNews, NamedRate, Notice, Rate, RunId, Told};
use crate::policy::admission::Shed;

impl Guard {
    /// Returns the run of the backend server that is present, if it said so.
    pub(super) fn run(&self) -> Option<RunId> {
        self.presence.lock().run()
    }

    /// Takes what an answer to a call says that was sent at `sent`; what it
    /// leaves out counts if it is `in_order`.
    pub(super) fn hear_notice(&self, sent: Instant, notice: Notice, in_order: bool) {
        if notice.leaving
            && let Some(run) = self.run()
        {
            self.leave_for_good(run);
        }
        match notice.rate {
            NamedRate::None if !in_order => return,
            NamedRate::Unreadable => self.explain("its rate is no number", None),
            NamedRate::None | NamedRate::Some(_) => {}
        }
        let before = self.gate.rate();
        if self.gate.hear_rate(sent, notice.rate) {
            self.shared.metrics.count("server_limits");
            self.explain("takes", before);
        }
    }

    /// Takes what an entry was told of the backend server before.
    pub(super) fn take_told(&self, told: Told) {
        if self.run() != Some(told.run) {
            return;
        }
        if told.leaving {
            self.leave_for_good(told.run);
        }
        if let Some(rate) = told.rate
            && self.gate.adopt_rate(rate)
        {
            self.explain("takes, as an entry was told", None);
        }
    }

    /// Returns what this guard tells of itself and of its backend server.
    pub(super) fn news(&self) -> GuardNews {
        GuardNews {
            told: self.told(),
            ..self.gate.news()
        }
    }

    /// Says more on why a call was shed, for people.
    pub(super) fn detail(&self, shed: Shed) -> String {
        match (shed, self.gate.rate()) {
            (Shed::Limited, Some(rate)) => {
                let room = self.gate.news().room.as_millis();
                format!("its server takes {rate}, room in {room} ms")
            }
            _ => String::new(),
        }
    }

    fn told(&self) -> Option<Told> {
        let rate = self.gate.rate();
        let presence = self.presence.lock();
        let leaving = presence.is_leaving();
        if rate.is_none() && !leaving {
            return None;
        }
        let run = presence.run()?;
        Some(Told { run, rate, leaving })
    }

    /// Sends a run nothing more that said with an answer that it leaves.
    fn leave_for_good(&self, run: RunId) {
        if !self.presence.lock().record_leaving(run) {
            return;
        }
        self.drain();
        self.shared.announced.notify_one();
        self.explain("leaves", None);
    }

    fn explain(&self, what: &str, before: Option<Rate>) {
        if !self.shared.decisions.may_log() {
            return;
        }
        let text = |rate: Option<Rate>| rate.map_or("any".to_owned(), |rate| rate.to_string());
        let server = self.server();
        let load = self.gate.load();
        spdlog::info!("backend server says of itself", kv: {
            server = server.as_ref().map_or("", |server| server.as_str()),
            what,
            takes = text(self.gate.rate()).as_str(),
            took = text(before).as_str(),
            in_flight = load.0,
            waiting = load.1
        });
    }
}
