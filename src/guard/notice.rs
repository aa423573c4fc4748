//! Notices that the backend server sends with its answers.

use tokio::time::Instant;

use super::Guard;
use crate::model::{GuardStatus, Notice, Rate, RelayedNotice, RequestedRate, RunId};
use crate::policy::admission::Shed;
use crate::tables::LineKind;

impl Guard {
    /// Returns the current run of the backend server, if it announced itself.
    pub(super) fn run(&self) -> Option<RunId> {
        self.presence.lock().run()
    }

    /// Records the notice in the answer to a call sent at `sent_at`; a missing rate
    /// ends the limit only if the notice `is_complete`.
    pub(super) fn record_notice(&self, sent_at: Instant, notice: Notice, is_complete: bool) {
        if notice.leaving
            && let Some(run) = self.run()
        {
            self.record_leaving(run);
        }
        match notice.rate {
            RequestedRate::None if !is_complete => return,
            RequestedRate::Unreadable => self.log_notice("its rate is no number", None),
            RequestedRate::None | RequestedRate::Some(_) => {}
        }
        let before = self.gate.rate();
        if self.gate.record_rate(sent_at, notice.rate) {
            self.shared.metrics.count("server_limits");
            self.log_notice("takes", before);
        }
    }

    /// Applies a notice of the backend server that an entry relays.
    pub(super) fn apply_relayed_notice(&self, notice: RelayedNotice) {
        if self.run() != Some(notice.run) {
            return;
        }
        if notice.leaving {
            self.record_leaving(notice.run);
        }
        if let Some(rate) = notice.rate
            && self.gate.adopt_rate(rate)
        {
            self.log_notice("takes, as an entry was told", None);
        }
    }

    /// Returns the status of this guard and the last notice of its backend server.
    pub(super) fn status(&self) -> GuardStatus {
        GuardStatus {
            notice: self.relayed_notice(),
            ..self.gate.status()
        }
    }

    /// Returns a human-readable detail on why a call was shed.
    pub(super) fn detail(&self, shed: Shed) -> String {
        match (shed, self.gate.rate()) {
            (Shed::Limited, Some(rate)) => {
                let room = self.gate.status().rate_delay.as_millis();
                format!("the server accepts {rate}, capacity in {room} ms")
            }
            _ => String::new(),
        }
    }

    fn relayed_notice(&self) -> Option<RelayedNotice> {
        let rate = self.gate.rate();
        let presence = self.presence.lock();
        let leaving = presence.is_leaving();
        if rate.is_none() && !leaving {
            return None;
        }
        let run = presence.run()?;
        Some(RelayedNotice { run, rate, leaving })
    }

    /// Stops sending calls to a run that announced with an answer that it leaves.
    fn record_leaving(&self, run: RunId) {
        if !self.presence.lock().record_leaving(run) {
            return;
        }
        self.drain();
        self.shared.lease_notify.notify_one();
        self.log_notice("leaves", None);
    }

    fn log_notice(&self, what: &str, before: Option<Rate>) {
        if !self.shared.log_limiter.try_take(LineKind::Refused) {
            return;
        }
        let text = |rate: Option<Rate>| rate.map_or("any".to_owned(), |rate| rate.to_string());
        let server = self.server();
        let load = self.gate.load();
        spdlog::info!("backend server sent a notice", kv: {
            server = server.as_ref().map_or("", |server| server.as_str()),
            what,
            takes = text(self.gate.rate()).as_str(),
            took = text(before).as_str(),
            in_flight = load.0,
            waiting = load.1
        });
    }
}
