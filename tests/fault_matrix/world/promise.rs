//! What must hold in the end.

use super::*;

impl World {
    pub(super) fn check_end(&mut self) {
        for caller in &self.callers {
            let runs = self.runs.get(&caller.key).copied().unwrap_or(0);
            let taken = caller.done && !caller.answered && !caller.silent;
            if taken && caller.told == Some(Verdict::NotRun) && runs > 0 {
                self.violations
                    .push(format!("{} was said not to run and ran later", caller.key));
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
                self.violations
                    .push(format!("node {n} does not run accepted version {newest}"));
            }
            for member in node.view.members() {
                let there = &self.nodes[self.address(member.instance)];
                if there.up && there.left_at.is_none() && member.state == MemberState::Silent {
                    self.violations
                        .push(format!("node {n} still calls a well node silent"));
                }
            }
        }
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.clone()
    }
}
