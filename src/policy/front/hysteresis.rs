//! The level of calls whose tree has begun.

use crate::model::Level;

/// Share of a class by which a level may rise before a tree is refused that has
/// begun. A tree lasts several windows in which the level is set anew.
const SHARE: usize = 8;

/// Returns the level of an onward call by which entries and the chain rule
/// decide; its class stays the same.
///
/// A tree refused at the front costs its caller one answer; refused below it has
/// used slots of several services. The guard's queue still sheds by the true
/// level what it has no room for.
pub fn with_hysteresis(level: Level) -> Level {
    let highest = level.class_end() - 1;
    let raw = (level.index() + Level::STEPS / SHARE).min(highest);
    Level::from_raw(raw as u32)
}
