//! Metrics by workspace in the text format of scrapers.

use std::fmt::Write;
use std::time::Duration;

/// The names of the metrics by workspace and their help texts.
pub const WORKSPACE_NAMES: [(&str, &str); 2] = [
    (
        "bramleymount_workspace_slot_milliseconds_total",
        "slot time at the backend server by workspace, for those with the most",
    ),
    (
        "bramleymount_workspace_shed_total",
        "calls shed by the guard by workspace, for those with the most slot time",
    ),
];

/// The slot usage of one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRow {
    /// Its name; empty for calls without a workspace.
    pub name: Box<str>,
    /// Slot time of its calls.
    pub time: Duration,
    /// Calls that were shed.
    pub shed: u64,
}

/// Formats the metrics by workspace; empty if there are none.
pub fn workspace_page(rows: &[WorkspaceRow]) -> String {
    let mut text = String::new();
    if rows.is_empty() {
        return text;
    }
    for (index, (name, help)) in WORKSPACE_NAMES.iter().enumerate() {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "# HELP {name} {help}\n# TYPE {name} counter");
        for row in rows {
            let label = escape_label(&row.name);
            let value = match index {
                0 => row.time.as_millis(),
                _ => u128::from(row.shed),
            };
            let _ = writeln!(text, "{name}{{workspace=\"{label}\"}} {value}");
        }
    }
    text
}

fn escape_label(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"")
}
