//! Invariants checked at the end of a run.

use super::*;

impl World {
    pub(super) fn check_end(&mut self) {
        for caller in &self.callers {
            let runs = self.runs.get(&caller.key).copied().unwrap_or(0);
            let gave_up = caller.done && !caller.answered && !caller.unanswered;
            if gave_up && caller.last_verdict == Some(Verdict::NotRun) && runs > 0 {
                self.violations.push(format!(
                    "{} was reported as not run, but ran later",
                    caller.key
                ));
            }
        }
        let newest = self
            .accepted
            .iter()
            .map(|(v, _)| *v)
            .max()
            .unwrap_or_default();
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.up) {
            if node.rollout.current() < newest {
                self.violations.push(format!(
                    "node {n} has not applied accepted version {newest}"
                ));
            }
            for member in node.view.members() {
                let observed = &self.nodes[self.node_at(member.instance)];
                if observed.up
                    && observed.leaving_since.is_none()
                    && member.state == MemberState::Silent
                {
                    self.violations
                        .push(format!("node {n} still marks a healthy node as silent"));
                }
            }
        }
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.clone()
    }
}
