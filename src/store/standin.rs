//! An HTTP stand-in for the platform.
//!
//! `/table/KEY` holds a row, with its revision as `ETag`; writes need `If-Match` or
//! `If-None-Match: *`. `/scan/PREFIX` lists rows, `/objects/NAME` holds an object,
//! `/fault` sets the current fault and `/counts` returns the requests so far.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use xitca_web::body::{BodyExt, RequestBody};

use super::{Condition, Fault, MemoryPlatform, ObjectStore, Revision, Row, TableStore, WriteError};
use crate::error::Error;
use crate::web::{HttpRequest, HttpResponse, ThreadedServer, answer_json, answer_text, serve};

/// Largest accepted content, in bytes.
const MAX_CONTENT: usize = 16 * 1024 * 1024;

/// One row in the answer to a scan.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ScanRow {
    key: Box<str>,
    revision: Revision,
    content: Box<str>,
}

impl From<ScanRow> for Row {
    fn from(row: ScanRow) -> Self {
        Self {
            key: row.key,
            revision: row.revision,
            content: Bytes::from(String::from(row.content)),
        }
    }
}

/// Serves `memory` on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve_standin(
    address: SocketAddr,
    memory: Arc<MemoryPlatform>,
) -> Result<ThreadedServer, Error> {
    serve(address, 1, move |request| {
        let memory = Arc::clone(&memory);
        async move { handle(&memory, request).await }
    })
}

async fn handle(memory: &MemoryPlatform, request: HttpRequest) -> HttpResponse {
    let (head, ext) = request.into_parts();
    let (_, body) = ext.replace_body(());
    let Some(body) = read_body(body).await else {
        return answer_text(StatusCode::PAYLOAD_TOO_LARGE, "the content is too large");
    };
    let path = head.uri.path();
    if let Some(key) = path.strip_prefix("/table/") {
        return table(memory, &head.method, key, &head.headers, body).await;
    }
    if let Some(prefix) = path.strip_prefix("/scan/") {
        return scan(memory, prefix).await;
    }
    if let Some(name) = path.strip_prefix("/objects/") {
        return objects(memory, &head.method, name, body).await;
    }
    match (head.method, path) {
        (Method::PUT, "/fault") => set_fault(memory, &body),
        (Method::GET, "/counts") => answer_json(StatusCode::OK, &memory.counts()),
        _ => answer_text(StatusCode::NOT_FOUND, "no such resource"),
    }
}

async fn read_body(body: RequestBody) -> Option<Bytes> {
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        whole.extend_from_slice(&chunk.ok()?);
        if whole.len() > MAX_CONTENT {
            return None;
        }
    }
    Some(whole.freeze())
}

fn set_fault(memory: &MemoryPlatform, body: &[u8]) -> HttpResponse {
    match serde_json::from_slice::<Fault>(body) {
        Ok(fault) => {
            memory.set_fault(fault);
            answer_json(StatusCode::OK, &fault)
        }
        Err(e) => answer_text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

async fn table(
    memory: &MemoryPlatform,
    method: &Method,
    key: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> HttpResponse {
    match *method {
        Method::GET => match memory.read(key).await {
            Ok(Some(row)) => row_answer(StatusCode::OK, row),
            Ok(None) => answer_text(StatusCode::NOT_FOUND, "no such row"),
            Err(e) => answer_text(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
        },
        Method::PUT => match read_condition(headers) {
            Some(condition) => write_answer(memory.write(key, condition, body).await),
            None => answer_text(StatusCode::PRECONDITION_REQUIRED, "a condition is missing"),
        },
        Method::DELETE => match read_condition(headers) {
            Some(Condition::Revision(revision)) => {
                write_answer(memory.delete(key, revision).await.map(|()| revision))
            }
            _ => answer_text(StatusCode::PRECONDITION_REQUIRED, "If-Match is missing"),
        },
        _ => answer_text(StatusCode::METHOD_NOT_ALLOWED, "GET, PUT or DELETE"),
    }
}

fn read_condition(headers: &HeaderMap) -> Option<Condition> {
    if headers.get(IF_NONE_MATCH).is_some_and(|v| v == "*") {
        return Some(Condition::Absent);
    }
    let tag = headers.get(IF_MATCH)?.to_str().ok()?;
    let revision = tag.trim_matches('"').parse().ok()?;
    Some(Condition::Revision(Revision(revision)))
}

fn write_answer(result: Result<Revision, WriteError>) -> HttpResponse {
    match result {
        Ok(revision) => {
            let mut answer = answer_text(StatusCode::OK, "");
            set_etag(&mut answer, revision);
            answer
        }
        Err(WriteError::Conflict(Some(row))) => row_answer(StatusCode::PRECONDITION_FAILED, row),
        Err(WriteError::Conflict(None)) => answer_text(StatusCode::PRECONDITION_FAILED, ""),
        Err(e) => answer_text(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
    }
}

fn row_answer(status: StatusCode, row: Row) -> HttpResponse {
    let mut answer = answer_text(status, "");
    set_etag(&mut answer, row.revision);
    answer.map(|_| xitca_web::body::ResponseBody::bytes(row.content))
}

fn set_etag(answer: &mut HttpResponse, revision: Revision) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        answer.headers_mut().insert(ETAG, value);
    }
}

async fn scan(memory: &MemoryPlatform, prefix: &str) -> HttpResponse {
    match memory.scan(prefix).await {
        Ok(rows) => {
            let rows: Vec<ScanRow> = rows
                .into_iter()
                .map(|row| ScanRow {
                    key: row.key,
                    revision: row.revision,
                    content: String::from_utf8_lossy(&row.content).into(),
                })
                .collect();
            answer_json(StatusCode::OK, &rows)
        }
        Err(e) => answer_text(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
    }
}

async fn objects(
    memory: &MemoryPlatform,
    method: &Method,
    name: &str,
    body: Bytes,
) -> HttpResponse {
    match *method {
        Method::GET => match memory.get(name).await {
            Ok(Some(content)) => answer_text(StatusCode::OK, "")
                .map(|_| xitca_web::body::ResponseBody::bytes(content)),
            Ok(None) => answer_text(StatusCode::NOT_FOUND, "no such object"),
            Err(e) => answer_text(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
        },
        Method::PUT => match memory.put(name, body).await {
            Ok(()) => answer_text(StatusCode::OK, ""),
            Err(e) => answer_text(StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
        },
        _ => answer_text(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
    }
}
