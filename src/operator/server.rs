//! Serving of the operators' interface by HTTP.

use std::sync::Arc;

use futures_util::StreamExt;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use xitca_web::body::{BodyExt, RequestBody};

use super::page::page;
use super::{
    AnnounceRequest, ApplyRequest, ConfigAnswer, HistoryEntry, MemberStatus, StatusAnswer,
    TicketAnswer, TopAnswer, apply,
};
use crate::declare::{Hash, Manifest};
use crate::entry::Entry;
use crate::error::Error;
use crate::guard::Guard;
use crate::metrics::Group;
use crate::model::CallId;
use crate::peer::{Pool, query_version};
use crate::policy::member::{Member, MemberState};
use crate::tables::Shared;
use crate::task::{CURRENT_ROW, CurrentRow, fetch_version};
use crate::web::{HttpRequest, HttpResponse, ThreadedServer, answer_json, answer_text, serve};

/// Largest request, in bytes.
const MAX_REQUEST: usize = 16 * 1024 * 1024;
/// Versions that a history shows.
const MAX_HISTORY: usize = 50;

/// Members that are asked at one time for the version that they run; it bounds
/// the connections that one question of an operator opens.
const ASKED_AT_ONCE: usize = 64;

/// What the operators' interface works on.
#[derive(Clone)]
pub struct OperatorService {
    /// The shared tables.
    pub shared: Arc<Shared>,
    /// The guard.
    pub guard: Arc<Guard>,
    /// The entry.
    pub entry: Arc<Entry>,
    /// Connections to others.
    pub pool: Arc<Pool>,
}

impl OperatorService {
    async fn handle(self, request: HttpRequest) -> HttpResponse {
        let (head, ext) = request.into_parts();
        let (_, body) = ext.replace_body(());
        let path = head.uri.path().to_owned();
        let (resource, rest) = match path.strip_prefix("/v1/") {
            Some(path) => path.split_once('/').unwrap_or((path, "")),
            None if path == "/" => return self.page(),
            None => return not_found(),
        };
        match (&head.method, resource, rest) {
            (&Method::GET, "status", "") => answer_json(StatusCode::OK, &self.status().await),
            (&Method::GET, "top", "") => answer_json(StatusCode::OK, &self.top()),
            (&Method::GET, "config", "") => self.config(),
            (&Method::GET, "version", hash) => self.version(hash).await,
            (&Method::GET, "history", "") => self.history().await,
            (&Method::GET, "explain", id) => self.explain(id),
            (&Method::POST, "apply", "") => self.apply(body).await,
            (&Method::POST, "drain", "") => self.drain(),
            (&Method::POST, "tickets", service) => self.ticket(service),
            (&Method::POST, "backend", "announce") => self.announce(body).await,
            (&Method::POST, "backend", "drain") => self.drain(),
            _ => not_found(),
        }
    }

    fn page(&self) -> HttpResponse {
        let mut answer = answer_text(StatusCode::OK, page(&self.top()));
        let html = HeaderValue::from_static("text/html; charset=utf-8");
        answer.headers_mut().insert(CONTENT_TYPE, html);
        answer
    }

    async fn status(&self) -> StatusAnswer {
        let known: Vec<Member> = self.shared.view.lock().members().cloned().collect();
        let lines = known.into_iter().map(|member| self.line(member));
        let members = futures_util::stream::iter(lines)
            .buffered(ASKED_AT_ONCE)
            .collect()
            .await;
        StatusAnswer {
            instance: self.shared.instance,
            version: self.shared.current.version(),
            load: self.guard.gate().load(),
            ledger: self.guard.once().size(),
            connections: self.pool.len(),
            members,
        }
    }

    /// Tells of one member; asks it which version it runs, if it runs.
    async fn line(&self, member: Member) -> MemberStatus {
        let version = match member.instance {
            own if own == self.shared.instance => Some(self.shared.current.version()),
            _ if member.state >= MemberState::Silent => None,
            other => query_version(&self.shared, &self.pool, other).await,
        };
        let table = self.shared.targets.table(&member.service);
        let latency_ratio = table.lock().latency_ratio(Instant::now(), member.instance);
        MemberStatus {
            instance: member.instance,
            centre: member.centre,
            service: member.service,
            state: member.state,
            version,
            latency_ratio,
        }
    }

    fn top(&self) -> TopAnswer {
        TopAnswer {
            load: self.guard.gate().load(),
            classes: self.shared.metrics.rows(Group::Class),
            callers: self.shared.metrics.rows(Group::Caller),
        }
    }

    fn config(&self) -> HttpResponse {
        let answer = match self.shared.current.get() {
            Some(in_force) => ConfigAnswer {
                version: in_force.manifest.version,
                documents: in_force.documents.values().cloned().collect(),
            },
            None => ConfigAnswer {
                version: self.shared.current.version(),
                documents: Vec::new(),
            },
        };
        answer_json(StatusCode::OK, &answer)
    }

    async fn version(&self, hash: &str) -> HttpResponse {
        match fetch_version(&self.shared, &Hash::from_text(hash)).await {
            Ok((manifest, documents)) => {
                let version = manifest.version;
                answer_json(StatusCode::OK, &ConfigAnswer { version, documents })
            }
            Err(e) => answer_text(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
        }
    }

    async fn history(&self) -> HttpResponse {
        match self.read_history().await {
            Ok(entries) => answer_json(StatusCode::OK, &entries),
            Err(e) => answer_text(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
        }
    }

    async fn read_history(&self) -> Result<Vec<HistoryEntry>, Error> {
        let platform = &self.shared.platform;
        let failed = |e: crate::store::ReadError| Error::remote(e.to_string());
        let Some(row) = platform.read(CURRENT_ROW).await.map_err(failed)? else {
            return Ok(Vec::new());
        };
        let current: CurrentRow = serde_json::from_slice(&row.content)
            .map_err(|e| Error::value("configuration row", e.to_string()))?;
        let mut entries: Vec<HistoryEntry> = Vec::new();
        let mut later: Option<Manifest> = None;
        let mut next = Some(current.manifest);
        while let Some(hash) = next.take()
            && entries.len() <= MAX_HISTORY
        {
            let Some(content) = platform.get(hash.as_str()).await.map_err(failed)? else {
                break;
            };
            let manifest = Manifest::decode(&content)?;
            if let (Some(later), Some(entry)) = (&later, entries.last_mut()) {
                entry.changed = changed(&manifest, later);
            }
            entries.push(HistoryEntry {
                version: manifest.version,
                change: manifest.change.clone(),
                author: manifest.author.clone(),
                unix_ms: manifest.unix_ms,
                manifest: hash,
                changed: manifest.documents.keys().cloned().collect(),
            });
            next = manifest.previous.clone();
            later = Some(manifest);
        }
        entries.truncate(MAX_HISTORY);
        Ok(entries)
    }

    fn explain(&self, id: &str) -> HttpResponse {
        match id.parse::<CallId>() {
            Ok(call) => answer_json(StatusCode::OK, &self.entry.explain(call)),
            Err(e) => answer_text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    async fn apply(&self, body: RequestBody) -> HttpResponse {
        match read::<ApplyRequest>(body).await {
            Ok(request) => answer_json(StatusCode::OK, &apply(&self.shared, request).await),
            Err(why) => answer_text(StatusCode::BAD_REQUEST, why),
        }
    }

    fn ticket(&self, service: &str) -> HttpResponse {
        let service = match service.parse() {
            Ok(service) => service,
            Err(e) => return answer_text(StatusCode::BAD_REQUEST, format!("{e}")),
        };
        match self.entry.issue_ticket(&service) {
            Some(key) => {
                let key = key.to_string().into();
                answer_json(StatusCode::OK, &TicketAnswer { key })
            }
            None => answer_text(StatusCode::SERVICE_UNAVAILABLE, "no server takes calls"),
        }
    }

    async fn announce(&self, body: RequestBody) -> HttpResponse {
        match read::<AnnounceRequest>(body).await {
            Ok(announce) => {
                self.guard.renew_lease(announce.cold);
                answer_text(StatusCode::OK, "announced\n")
            }
            Err(why) => answer_text(StatusCode::BAD_REQUEST, why),
        }
    }

    fn drain(&self) -> HttpResponse {
        self.guard.drain();
        answer_text(StatusCode::OK, "draining\n")
    }
}

fn changed(before: &Manifest, after: &Manifest) -> Vec<crate::declare::DocumentName> {
    let gone = before
        .documents
        .keys()
        .filter(|name| !after.documents.contains_key(*name));
    after
        .documents
        .iter()
        .filter(|(name, hash)| before.documents.get(*name) != Some(*hash))
        .map(|(name, _)| name)
        .chain(gone)
        .cloned()
        .collect()
}

fn not_found() -> HttpResponse {
    answer_text(StatusCode::NOT_FOUND, "no such resource\n")
}

/// Reads a JSON body; an empty one counts as `{}`.
async fn read<T: DeserializeOwned>(mut body: RequestBody) -> Result<T, String> {
    let mut whole = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        whole.extend_from_slice(&chunk);
        if whole.len() > MAX_REQUEST {
            return Err("the request is larger than 16 MiB".into());
        }
    }
    let content: &[u8] = if whole.is_empty() { b"{}" } else { &whole };
    serde_json::from_slice(content).map_err(|e| format!("not understood: {e}\n"))
}

/// Serves the operators' interface.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve_operators(operator: OperatorService) -> Result<ThreadedServer, Error> {
    let address = operator.shared.config.listen.operators;
    serve(address, 1, move |request| operator.clone().handle(request))
}
