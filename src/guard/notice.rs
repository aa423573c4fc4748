//! What the backend server says of itself with its answers.

use super::Guard;
use crate::model::Notice;

impl Guard {
    /// Takes what an answer says of its server.
    pub(super) fn hear_notice(&self, notice: Notice) {
        let before = std::mem::replace(&mut *self.notice.lock(), notice);
        if before == notice {
            return;
        }
        self.shared.metrics.count("server_notices");
        if !self.shared.decisions.may_log() {
            return;
        }
        let server = self.server();
        spdlog::info!("backend server says of itself", kv: {
            server = server.as_ref().map_or("", |server| server.as_str()),
            takes = notice.rate.to_string().as_str(),
            took = before.rate.to_string().as_str(),
            leaving = notice.leaving
        });
    }
}
