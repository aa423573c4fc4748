//! Extension, reassignment and hand-over of an ownership row.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Interval, OwnershipRow, SLOTS};
use crate::model::{Instance, MintTime};

/// How far ahead mint times are assigned, and how long intervals are retained.
#[derive(Clone, Copy, Debug)]
pub struct Horizon {
    /// How far an extension reaches beyond the present.
    pub ahead: Duration,
    /// How long intervals are retained after their end.
    pub retention: Duration,
}

impl Horizon {
    fn ahead_ms(&self) -> u64 {
        u64::try_from(self.ahead.as_millis()).unwrap_or(u64::MAX)
    }

    fn retention_ms(&self) -> u64 {
        u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The instance that takes over from a stopping one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor(pub Instance);

/// Computes the next state of a row, or `None` if it need not change.
///
/// Slots whose owner is in `live` are extended; the others are assigned to a
/// live instance from the end of their last interval on, never earlier. The row
/// is due for a change when a slot has less than half of the horizon left.
pub fn plan_ownership(
    row: &OwnershipRow,
    now: MintTime,
    live: &[Instance],
    horizon: Horizon,
) -> Option<OwnershipRow> {
    if live.is_empty() || !is_due(row, now, live, horizon) {
        return None;
    }
    let mut next = row.clone();
    let mut shares = Shares::new(row, live);
    let until = now.saturating_add(horizon.ahead_ms());
    for slot in next.slots_mut() {
        extend(slot, until, &mut shares);
    }
    let retention = horizon.retention_ms();
    next.forget(MintTime::from_millis(
        now.as_millis().saturating_sub(retention),
    ));
    Some(next)
}

fn is_due(row: &OwnershipRow, now: MintTime, live: &[Instance], horizon: Horizon) -> bool {
    let due = now.saturating_add(horizon.ahead_ms() / 2);
    row.slots().iter().any(|slot| match slot.last() {
        Some(last) => last.until <= due || !live.contains(&last.owner),
        None => true,
    })
}

fn extend(slot: &mut Vec<Interval>, until: MintTime, shares: &mut Shares) {
    let Some(last) = slot.last_mut() else {
        slot.push(Interval {
            owner: shares.take(None),
            // No instance owned an earlier mint time, so none can have run its key.
            from: MintTime::default(),
            until,
        });
        return;
    };
    let owner = shares.take(Some(last.owner));
    if owner == last.owner {
        last.until = last.until.max(until);
        return;
    }
    // The new owner starts where the interval of the last one ends.
    let from = last.until;
    slot.push(Interval {
        owner,
        from,
        until: until.max(from.saturating_add(1)),
    });
}

/// Computes the row in which `own` hands over all its intervals to `successor`.
///
/// Only `own` may write it, after it has stopped starting calls and the
/// successor has its ledger.
pub fn hand_over(row: &OwnershipRow, own: Instance, successor: Successor) -> OwnershipRow {
    let mut next = row.clone();
    let Successor(next_owner) = successor;
    for slot in next.slots_mut() {
        for interval in slot.iter_mut().filter(|i| i.owner == own) {
            interval.owner = next_owner;
        }
        merge(slot);
    }
    next
}

/// Joins adjacent intervals of the same owner.
fn merge(slot: &mut Vec<Interval>) {
    slot.dedup_by(|later, earlier| {
        let same = earlier.owner == later.owner && earlier.until == later.from;
        if same {
            earlier.until = later.until;
        }
        same
    });
}

/// Distributes slots evenly over live instances.
struct Shares {
    counts: BTreeMap<Instance, usize>,
    fair: usize,
}

impl Shares {
    fn new(row: &OwnershipRow, live: &[Instance]) -> Self {
        let mut counts: BTreeMap<Instance, usize> = live.iter().map(|i| (*i, 0)).collect();
        for last in row.slots().iter().filter_map(|slot| slot.last()) {
            if let Some(count) = counts.get_mut(&last.owner) {
                *count += 1;
            }
        }
        let fair = SLOTS.div_ceil(live.len().max(1));
        Self { counts, fair }
    }

    /// Returns the next owner of a slot: the present one, unless it is gone or
    /// has more than its fair share while another instance has at least two fewer.
    fn take(&mut self, present: Option<Instance>) -> Instance {
        let least = self.least();
        let Some(present) = present else {
            return self.give(least);
        };
        let Some(&count) = self.counts.get(&present) else {
            return self.give(least);
        };
        let other = self.counts.get(&least).copied().unwrap_or(0);
        if count > self.fair && other + 1 < count {
            self.counts.insert(present, count - 1);
            return self.give(least);
        }
        present
    }

    fn give(&mut self, to: Instance) -> Instance {
        *self.counts.entry(to).or_default() += 1;
        to
    }

    fn least(&self) -> Instance {
        let found = self.counts.iter().min_by_key(|(_, count)| **count);
        match found {
            Some((instance, _)) => *instance,
            // `plan_ownership` returns early if no instance is live.
            None => unreachable!("shares need at least one instance"),
        }
    }
}
