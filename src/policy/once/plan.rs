//! How a home row is extended, given to successors and handed over.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Interval, OwnershipRow, SLOTS};
use crate::model::{Instance, MintTime};

/// How far ahead mint times are given out, and how long they are remembered.
#[derive(Clone, Copy, Debug)]
pub struct Horizon {
    /// How far ahead of now an extension reaches.
    pub ahead: Duration,
    /// How long intervals are remembered.
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

/// An instance that takes over from one that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor(pub Instance);

/// Computes the next state of a row, or `None` if it need not change.
///
/// Owners in `live` keep their slots and are extended; slots of others go on
/// to a live instance from the end of the last interval, never earlier. The
/// row is due when less than half of the horizon is left anywhere.
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
    let until = now.plus(horizon.ahead_ms());
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
    let due = now.plus(horizon.ahead_ms() / 2);
    row.slots().iter().any(|slot| match slot.last() {
        Some(last) => last.until <= due || !live.contains(&last.owner),
        None => true,
    })
}

fn extend(slot: &mut Vec<Interval>, until: MintTime, shares: &mut Shares) {
    let Some(last) = slot.last_mut() else {
        slot.push(Interval {
            owner: shares.take(None),
            // Nobody owned any earlier mint time, so nobody can have run it.
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
    // The successor begins where the last owner's right ends.
    let from = last.until;
    slot.push(Interval {
        owner,
        from,
        until: until.max(from.plus(1)),
    });
}

/// Computes the row in which `own` gives up all that it owns to `successor`.
///
/// Only `own` itself may write it, after it has stopped starting keys and the
/// successor has its ledger.
pub fn hand_over(row: &OwnershipRow, own: Instance, successor: Successor) -> OwnershipRow {
    let mut next = row.clone();
    let Successor(heir) = successor;
    for slot in next.slots_mut() {
        for interval in slot.iter_mut().filter(|i| i.owner == own) {
            interval.owner = heir;
        }
        merge(slot);
    }
    next
}

fn merge(slot: &mut Vec<Interval>) {
    slot.dedup_by(|later, earlier| {
        let same = earlier.owner == later.owner && earlier.until == later.from;
        if same {
            earlier.until = later.until;
        }
        same
    });
}

/// Spreads slots evenly over live instances.
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

    /// Returns who owns a slot next: the present owner unless it is gone or
    /// has more than its share while another has less.
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
            // `plan_ownership` returns before this when nobody is live.
            None => unreachable!("shares are never made of no instances"),
        }
    }
}
