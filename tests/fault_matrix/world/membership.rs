//! Ownership rows, membership and configuration.

use super::*;

impl World {
    pub(super) fn decode_row(&mut self, n: usize, revision: Revision, content: &[u8]) {
        let row = OwnershipRow::decode(content).expect("an ownership row");
        self.store_row(n, revision, Rc::new(row));
    }

    pub(super) fn store_row(&mut self, n: usize, revision: Revision, row: Rc<OwnershipRow>) {
        let known = self.nodes[n].row.as_ref().map(|(r, _)| *r);
        if known.is_none_or(|known| known < revision) {
            self.nodes[n].row = Some((revision, row));
        }
    }

    pub(super) fn tick(&mut self, n: usize) {
        if !self.nodes[n].up {
            return;
        }
        self.schedule(TICK_MS, Event::Tick(n));
        self.plan_row(n);
        self.watch(n);
        self.read_config(n);
        let node = &self.nodes[n];
        let members: Vec<Member> = node.view.members().cloned().collect();
        let row = node.row.clone();
        let version = node.rollout.current();
        for to in (0..NODES).filter(|to| *to != n) {
            let event = Event::Gossip {
                to,
                members: members.clone(),
                row: row.clone(),
                version,
            };
            self.message(n, to, event);
        }
    }

    pub(super) fn plan_row(&mut self, n: usize) {
        if self.platform_cuts.contains(&n) || self.nodes[n].leaving_since.is_some() {
            return;
        }
        let live: Vec<Instance> = self.nodes[n]
            .view
            .serving(&service())
            .map(|m| m.instance)
            .collect();
        let horizon = Horizon {
            ahead: Duration::from_millis(HORIZON_MS),
            retention: Duration::from_secs(3600),
        };
        let known = self.nodes[n].row.clone();
        let row = known
            .as_ref()
            .map(|(_, row)| (**row).clone())
            .unwrap_or_default();
        let Some(next) = plan_ownership(&row, self.mint(), &live, horizon) else {
            return;
        };
        if !row.allows(&next, self.nodes[n].instance) {
            self.violations
                .push("a plan revokes the interval of another instance".into());
        }
        let condition = known.map_or(Condition::Absent, |(revision, _)| {
            Condition::Revision(revision)
        });
        match now(write_with_retry(
            &self.table,
            "home",
            condition,
            next.encode().into(),
        )) {
            WriteOutcome::Written(revision) => self.nodes[n].row = Some((revision, Rc::new(next))),
            WriteOutcome::Conflict(Some(found)) => {
                self.decode_row(n, found.revision, &found.content)
            }
            _ => {}
        }
    }

    /// Marks the next node as silent if it cannot answer.
    pub(super) fn watch(&mut self, n: usize) {
        let next = (n + 1) % NODES;
        let other = &self.nodes[next];
        let unreachable =
            !other.up || other.paused_until > self.time || self.cuts.contains(&(n, next));
        if unreachable {
            let known = self.nodes[n]
                .view
                .at(other.instance.address)
                .map(|m| m.instance);
            let at = self.instant();
            if let Some(known) = known {
                self.nodes[n].view.mark_silent(at, known);
            }
        }
    }

    pub(super) fn gossip(
        &mut self,
        to: usize,
        members: Vec<Member>,
        row: Option<(Revision, Rc<OwnershipRow>)>,
        version: Version,
    ) {
        if !self.nodes[to].up {
            return;
        }
        let at = self.instant();
        for member in members {
            self.nodes[to].view.merge(at, member);
        }
        if let Some((revision, row)) = row {
            self.store_row(to, revision, row);
        }
        self.learn_version(to, version);
    }

    pub(super) fn learn_version(&mut self, n: usize, version: Version) {
        let before = self.nodes[n].rollout.current();
        if self.nodes[n].rollout.decide(version) == VersionDecision::Apply {
            self.nodes[n].rollout.advance(version);
        }
        if self.nodes[n].rollout.current() < before {
            self.violations
                .push(format!("node {n} reverted from version {before}"));
        }
    }

    pub(super) fn read_config(&mut self, n: usize) {
        if self.platform_cuts.contains(&n) || !self.nodes[n].up {
            return;
        }
        if let Ok(Some(row)) = now(self.table.read("config")) {
            let (version, _) = config(&row.content);
            self.learn_version(n, version);
        }
    }

    pub(super) fn apply(&mut self, n: usize, change: u64, base: Version) {
        if !self.nodes[n].up || self.platform_cuts.contains(&n) {
            return;
        }
        let Ok(found) = now(self.table.read("config")) else {
            return;
        };
        let (condition, current) = match &found {
            Some(row) => (Condition::Revision(row.revision), config(&row.content)),
            None => (Condition::Absent, (Version::NONE, 0)),
        };
        if current.1 == change && change != 0 {
            return self.accept(n, current.0, change);
        }
        if current.0 != base {
            return;
        }
        let version = base.next();
        let content = format!("{} {change}", version.get());
        match now(write_with_retry(
            &self.table,
            "config",
            condition,
            content.into(),
        )) {
            WriteOutcome::Written(_) => self.accept(n, version, change),
            WriteOutcome::Unknown(_) => {
                self.unsettled.push((n, change, base));
                self.schedule(
                    OUTAGE_MS + 1000,
                    Event::Apply {
                        node: n,
                        change,
                        base,
                    },
                );
            }
            WriteOutcome::Conflict(_) | WriteOutcome::NotSent(_) => {}
        }
    }

    pub(super) fn accept(&mut self, n: usize, version: Version, change: u64) {
        let clash = self
            .accepted
            .iter()
            .any(|(v, c)| *v == version && *c != change);
        if clash {
            self.violations
                .push(format!("version {version} was accepted twice"));
        }
        self.accepted.push((version, change));
        self.learn_version(n, version);
    }
}
