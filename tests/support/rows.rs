//! A stand-in for the platform's row store that speaks the platform's protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bramleymount::web::{CallerAnswer, HttpListener, caller_text, listen};
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

/// A fault of the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowsFault {
    #[default]
    None,
    /// Answers 503 without an effect.
    Busy,
    /// Never answers, without an effect.
    Silent,
    /// Executes requests, but never answers.
    LoseAnswers,
    /// Answers 410 to requests for the feed, as if its history had expired.
    HistoryExpired,
}

#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<String>,
    ver: u64,
    /// Answered in place of the row, to test rows that other writers made.
    raw: Option<Value>,
}

impl StoredRow {
    fn new(value: Option<String>, ver: u64) -> Self {
        Self {
            value,
            ver,
            raw: None,
        }
    }
}

/// Content of the store that it can restore.
#[derive(Clone, Debug)]
struct Snapshot {
    stored_rows: BTreeMap<Key, StoredRow>,
    ver: u64,
}

#[derive(Debug, Default)]
struct Rows {
    stored_rows: BTreeMap<(String, String), StoredRow>,
    objects: BTreeMap<String, Vec<u8>>,
    ver: u64,
    fault: RowsFault,
    calls: u64,
    /// When the store began to lose answers, and until when.
    silence: Option<(Instant, Instant)>,
    /// Incremented by each restore; left out of answers while 0.
    era: u64,
    snapshot: Option<Snapshot>,
}

#[derive(Debug, Default)]
pub struct RowsStandIn {
    rows: Mutex<Rows>,
    changed: Notify,
}

type Key = (String, String);

fn key(row: &Value) -> Key {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("tableName"), text("key"))
}

fn row_json(key: &Key, stored: &StoredRow) -> Value {
    if let Some(raw) = &stored.raw {
        return raw.clone();
    }
    match &stored.value {
        Some(value) => json!({"tableName": key.0, "part": "", "key": key.1,
            "value": value, "ver": stored.ver}),
        None => json!({"tableName": key.0, "part": "", "key": key.1,
            "ver": stored.ver, "deleted": true}),
    }
}

fn answer(status: u16, body: &Value) -> CallerAnswer {
    let status = StatusCode::from_u16(status).expect("a status");
    caller_text(status, "application/json", body.to_string())
}

impl Rows {
    fn put(&mut self, table: &str, name: &str, text: &str) {
        use base64::Engine;
        let value = base64::engine::general_purpose::STANDARD.encode(text);
        self.ver += 1;
        let stored = StoredRow::new(Some(value), self.ver);
        self.stored_rows.insert((table.into(), name.into()), stored);
    }
}

impl RowsStandIn {
    pub async fn start(address: SocketAddr) -> (Arc<Self>, HttpListener) {
        let store = Arc::new(Self::default());
        let listening = store.listen(address).await;
        (store, listening)
    }

    /// Serves the store at `address` until the listener is dropped.
    pub async fn listen(self: &Arc<Self>, address: SocketAddr) -> HttpListener {
        let served = Arc::clone(self);
        let listening = listen(address, move |request, _| {
            let store = Arc::clone(&served);
            async move { store.handle(request).await }
        });
        listening.await.expect("the stand-in")
    }

    pub fn set_fault(&self, fault: RowsFault) {
        self.rows.lock().fault = fault;
    }

    /// Loses the answers to all calls that it has, or gets within `time`. These calls
    /// stay open and receive nothing afterwards either.
    pub fn lose_answers_for(&self, time: Duration) {
        let now = Instant::now();
        self.rows.lock().silence = Some((now, now + time));
    }

    /// Takes a snapshot for [`Self::restore`]. From now on answers carry the era.
    pub fn take_snapshot(&self) {
        let mut rows = self.rows.lock();
        rows.era = rows.era.max(1);
        let (stored_rows, ver) = (rows.stored_rows.clone(), rows.ver);
        rows.snapshot = Some(Snapshot { stored_rows, ver });
    }

    /// Restores the snapshot. Versions assigned since then are assigned again.
    pub fn restore(&self) {
        self.restore_and_put(&[]);
    }

    /// Restores the snapshot and writes `puts` before any request sees the restore.
    pub fn restore_and_put(&self, puts: &[(&str, &str, &str)]) {
        let mut rows = self.rows.lock();
        let Snapshot { stored_rows, ver } = rows.snapshot.clone().expect("a snapshot");
        rows.stored_rows = stored_rows;
        rows.ver = ver;
        rows.era += 1;
        for (table, name, text) in puts {
            rows.put(table, name, text);
        }
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Returns the keys of the rows of a table.
    pub fn row_names(&self, table: &str) -> Vec<String> {
        let rows = self.rows.lock();
        let there = rows
            .stored_rows
            .iter()
            .filter(|(_, stored)| stored.value.is_some());
        let names = there
            .filter(|(key, _)| key.0 == table)
            .map(|(key, _)| key.1.clone());
        names.collect()
    }

    pub fn calls(&self) -> u64 {
        self.rows.lock().calls
    }

    /// Writes a row as the operator does, without a condition.
    pub fn put(&self, table: &str, name: &str, text: &str) {
        self.rows.lock().put(table, name, text);
        self.changed.notify_waiters();
    }

    /// Writes a row that is answered as the JSON text `raw`.
    pub fn put_raw(&self, table: &str, name: &str, raw: &str) {
        let mut rows = self.rows.lock();
        rows.ver += 1;
        let stored = StoredRow {
            raw: Some(serde_json::from_str(raw).expect("JSON")),
            ..StoredRow::new(Some(String::new()), rows.ver)
        };
        rows.stored_rows.insert((table.into(), name.into()), stored);
        drop(rows);
        self.changed.notify_waiters();
    }

    async fn handle(&self, request: Request<Incoming>) -> CallerAnswer {
        let began = Instant::now();
        let mut answer = self.answer(request).await;
        let (era, silence) = {
            let rows = self.rows.lock();
            (rows.era, rows.silence)
        };
        if silence.is_some_and(|(begin, end)| Instant::now() >= begin && began < end) {
            std::future::pending::<()>().await;
        }
        if era > 0 {
            answer.headers_mut().insert("store-era", era.into());
        }
        answer
    }

    async fn answer(&self, request: Request<Incoming>) -> CallerAnswer {
        let (head, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map(|b| b.to_bytes())
            .unwrap_or_default();
        let fault = {
            let mut rows = self.rows.lock();
            rows.calls += 1;
            rows.fault
        };
        match fault {
            RowsFault::Busy => return answer(503, &json!({})),
            RowsFault::Silent => std::future::pending::<()>().await,
            RowsFault::None | RowsFault::LoseAnswers | RowsFault::HistoryExpired => {}
        }
        let path = head.uri.path().to_owned();
        let query = parse_query(head.uri.query().unwrap_or_default());
        let result = match (&head.method, path.as_str()) {
            (&Method::POST, "/rows-tx") => self.transact(&body),
            (&Method::GET, "/rows-get") => self.get(&query),
            (&Method::GET, "/rows-feed") => self.feed(&query, fault).await,
            (&Method::PUT, _) => self.put_object(&path, &body),
            (&Method::GET, _) => self.get_object(&path),
            _ => answer(404, &json!({})),
        };
        if fault == RowsFault::LoseAnswers {
            std::future::pending::<()>().await;
        }
        result
    }

    fn transact(&self, body: &[u8]) -> CallerAnswer {
        let call: Value = serde_json::from_slice(body).expect("a transaction");
        let mut rows = self.rows.lock();
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let ver_of = |rows: &Rows, key: &Key| {
            let stored = rows
                .stored_rows
                .get(key)
                .filter(|stored| stored.value.is_some());
            stored.map_or(0, |stored| stored.ver)
        };
        let holds = |row: &Value| ver_of(&rows, &key(row)) == row["ver"].as_u64().unwrap_or(0);
        if !list("expectRev").iter().all(holds) {
            let now: Vec<Value> = list("expectRev")
                .iter()
                .filter_map(|row| Some(row_json(&key(row), rows.stored_rows.get(&key(row))?)))
                .collect();
            return answer(412, &json!({"rows": now, "ver": rows.ver, "nowS": 1.0}));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in list("puts") {
            let value = row["value"].as_str().map(str::to_owned);
            rows.stored_rows
                .insert(key(&row), StoredRow::new(value, ver));
        }
        for row in list("remove") {
            rows.stored_rows
                .insert(key(&row), StoredRow::new(None, ver));
        }
        drop(rows);
        self.changed.notify_waiters();
        answer(200, &json!({"ver": ver, "nowS": 1.0}))
    }

    fn get(&self, query: &BTreeMap<String, String>) -> CallerAnswer {
        let rows = self.rows.lock();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit: usize = text("limit").parse().unwrap_or(500).min(2);
        let inside = |key: &Key| {
            let before_end = query.get("to").is_none_or(|to| key.1 < *to);
            key.0 == text("tableName") && key.1 >= text("from") && before_end
        };
        let all: Vec<Value> = rows
            .stored_rows
            .iter()
            .filter(|(key, stored)| inside(key) && stored.value.is_some())
            .map(|(key, stored)| row_json(key, stored))
            .collect();
        let page: Vec<&Value> = all.iter().take(limit).collect();
        let more = all.len() > page.len();
        answer(
            200,
            &json!({"rows": page, "morePages": more, "ver": rows.ver, "nowS": 1.0}),
        )
    }

    async fn feed(&self, query: &BTreeMap<String, String>, fault: RowsFault) -> CallerAnswer {
        if fault == RowsFault::HistoryExpired {
            return answer(410, &json!({}));
        }
        let number = |name: &str| query.get(name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs"));
        let end = tokio::time::Instant::now() + wait;
        loop {
            if number("after") > self.rows.lock().ver {
                return answer(410, &json!({}));
            }
            let woken = self.changed.notified();
            let (changes, ver) = {
                let rows = self.rows.lock();
                let table = query.get("tableName").cloned().unwrap_or_default();
                let newer = |(key, stored): &(&Key, &StoredRow)| {
                    key.0 == table && stored.ver > number("after")
                };
                let mut all: Vec<(u64, Value)> = rows
                    .stored_rows
                    .iter()
                    .filter(newer)
                    .map(|(key, stored)| (stored.ver, row_json(key, stored)))
                    .collect();
                all.sort_by_key(|(ver, _)| *ver);
                let all: Vec<Value> = all.into_iter().map(|(_, row)| row).collect();
                (all, rows.ver)
            };
            let waited = tokio::time::timeout_at(end, woken);
            if !changes.is_empty() || waited.await.is_err() {
                return answer(200, &json!({"rows": changes, "ver": ver, "nowS": 1.0}));
            }
        }
    }

    fn put_object(&self, path: &str, body: &[u8]) -> CallerAnswer {
        let mut rows = self.rows.lock();
        let name = path.trim_start_matches("/blob-put/").to_owned();
        if rows.objects.contains_key(&name) {
            return answer(412, &json!({}));
        }
        rows.objects.insert(name, body.to_vec());
        answer(200, &json!({}))
    }

    fn get_object(&self, path: &str) -> CallerAnswer {
        let rows = self.rows.lock();
        match rows.objects.get(path.trim_start_matches("/blob-get/")) {
            Some(bytes) => caller_text(StatusCode::OK, "application/json", bytes.clone()),
            None => answer(404, &json!({})),
        }
    }
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).filter(|_| *first == b'%');
        let code = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match code {
            Some(code) => {
                bytes.push(code);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
