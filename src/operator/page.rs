//! The page that shows the histograms now.

use std::fmt::Write;

use crate::metrics::MetricsRow;

use super::TopAnswer;

/// Writes the page.
pub(super) fn page(top: &TopAnswer) -> String {
    let (in_flight, waiting, limit) = top.load;
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><meta http-equiv=refresh content=2>\
         <title>bramleymount</title><style>body{font-family:sans-serif;margin:2em}\
         table{border-collapse:collapse;margin-bottom:2em}\
         td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}\
         td:first-child,th:first-child{text-align:left}</style>",
    );
    let _ = write!(
        page,
        "<h1>bramleymount</h1><p>{in_flight} calls in flight of {limit}, {waiting} waiting</p>"
    );
    table(&mut page, "Class", &top.classes);
    table(&mut page, "Caller", &top.callers);
    page
}

fn table(page: &mut String, title: &str, rows: &[MetricsRow]) {
    let _ = write!(
        page,
        "<table><tr><th>{title}</th><th>whole</th><th>shed</th><th>failed</th><th>retries</th>\
         <th>p50 ms</th><th>p99 ms</th><th>max ms</th></tr>"
    );
    for row in rows {
        let ms = |us: u64| us as f64 / 1000.0;
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.2}</td>\
             <td>{:.2}</td><td>{:.2}</td></tr>",
            row.name,
            row.complete,
            row.shed,
            row.failed,
            row.retries,
            ms(row.p50_us),
            ms(row.p99_us),
            ms(row.max_us)
        );
    }
    page.push_str("</table>");
}
