//! Figures by workspace as text that scrapers read.

use std::fmt::Write;
use std::time::Duration;

/// The names of the figures by workspace, with unit and meaning.
pub const WORKSPACE_NAMES: [(&str, &str); 2] = [
    (
        "bramleymount_workspace_slot_milliseconds_total",
        "slot time of the backend server by workspace, of those with most",
    ),
    (
        "bramleymount_workspace_shed_total",
        "calls shed by the guard by workspace, of those with most slot time",
    ),
];

/// What one workspace had of the slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRow {
    /// Its name; empty for calls without a workspace.
    pub name: Box<str>,
    /// Slot time of its calls.
    pub time: Duration,
    /// Calls that were shed.
    pub shed: u64,
}

/// Writes the figures by workspace; nothing if there are none.
pub fn workspace_page(rows: &[WorkspaceRow]) -> String {
    let mut text = String::new();
    if rows.is_empty() {
        return text;
    }
    for (place, (name, meaning)) in WORKSPACE_NAMES.iter().enumerate() {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "# HELP {name} {meaning}\n# TYPE {name} counter");
        for row in rows {
            let label = escaped(&row.name);
            let value = match place {
                0 => row.time.as_millis(),
                _ => u128::from(row.shed),
            };
            let _ = writeln!(text, "{name}{{workspace=\"{label}\"}} {value}");
        }
    }
    text
}

fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"")
}
