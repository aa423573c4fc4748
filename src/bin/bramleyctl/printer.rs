//! What the tool prints.

use std::fmt::Write;

use bramleymount::metrics::MetricsRow;
use bramleymount::operator::{HistoryEntry, StatusAnswer, TopAnswer};
use bramleymount::tables::JournalEntry;

/// Lays members out by data centre and service.
pub(crate) fn status(answer: &StatusAnswer) -> String {
    let mut text = String::new();
    let mut members = answer.members.clone();
    members.sort_by(|a, b| {
        (&a.centre, &a.service, a.instance).cmp(&(&b.centre, &b.service, b.instance))
    });
    let _ = writeln!(
        text,
        "{:<16} {:<24} {:<22} {:<8} {:>7} {:>5}",
        "DATA CENTRE", "SERVICE", "ADDRESS", "STATE", "VERSION", "PACE"
    );
    for member in &members {
        let _ = writeln!(
            text,
            "{:<16} {:<24} {:<22} {:<8} {:>7} {:>5}",
            member.centre,
            member.service,
            member.instance.address.to_string(),
            member.state,
            member
                .version
                .map_or("-".into(), |version| version.to_string()),
            member
                .latency_ratio
                .map_or("-".into(), |ratio| format!("{ratio:.2}"))
        );
    }
    let told: Vec<_> = members.iter().filter_map(|m| m.version).collect();
    let newest = told.iter().copied().max().unwrap_or_default();
    let behind = told.iter().filter(|version| **version < newest).count();
    let _ = writeln!(
        text,
        "{} daemons, newest version {newest}, {behind} behind it, {} did not say",
        members.len(),
        members.len() - told.len()
    );
    text
}

/// Lists versions, newest first.
pub(crate) fn history(entries: &[HistoryEntry]) -> String {
    let mut text = String::new();
    for entry in entries {
        let changed: Vec<&str> = entry.changed.iter().map(|name| name.as_str()).collect();
        let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(entry.unix_ms);
        let _ = writeln!(
            text,
            "version {} by {} at {}: {}",
            entry.version,
            entry.author,
            humantime::format_rfc3339_seconds(time),
            changed.join(", ")
        );
    }
    text
}

/// Lists what was decided on a call.
pub(crate) fn notes(notes: &[JournalEntry]) -> String {
    let Some(first) = notes.first() else {
        return "nothing is known here of this call; ask the daemon that took it\n".into();
    };
    let mut text = String::new();
    for note in notes {
        let step = serde_json::to_string(&note.step).unwrap_or_default();
        let after = note.unix_ms.saturating_sub(first.unix_ms);
        let step = step.trim_matches('"');
        let _ = writeln!(text, "{after:>6} ms  {step:<10} {}", note.detail);
    }
    text
}

/// Shows figures per class and caller; `before` gives rates.
pub(crate) fn top(now: &TopAnswer, before: Option<&TopAnswer>, secs: f64) -> String {
    let (in_flight, waiting, limit) = now.load;
    let mut text = format!("in flight {in_flight} of {limit}, waiting {waiting}\n");
    let old = before.map(|b| b.classes.as_slice()).unwrap_or_default();
    table(&mut text, "CLASS", &now.classes, old, secs);
    let old = before.map(|b| b.callers.as_slice()).unwrap_or_default();
    table(&mut text, "CALLER", &now.callers, old, secs);
    text
}

fn table(text: &mut String, title: &str, rows: &[MetricsRow], old: &[MetricsRow], secs: f64) {
    let _ = writeln!(
        text,
        "{title:<24} {:>10} {:>10} {:>10} {:>10} {:>9} {:>9}",
        "WHOLE/S", "SHED/S", "FAILED/S", "RETRIES/S", "P50 MS", "P99 MS"
    );
    for row in rows {
        let last = old.iter().find(|o| o.name == row.name);
        let rate = |get: fn(&MetricsRow) -> u64| {
            let before = last.map_or(0, get);
            get(row).saturating_sub(before) as f64 / secs
        };
        let _ = writeln!(
            text,
            "{:<24} {:>10.1} {:>10.1} {:>10.1} {:>10.1} {:>9.2} {:>9.2}",
            row.name,
            rate(|r| r.complete),
            rate(|r| r.shed),
            rate(|r| r.failed),
            rate(|r| r.retries),
            row.p50_us as f64 / 1000.0,
            row.p99_us as f64 / 1000.0
        );
    }
}
