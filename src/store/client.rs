//! HTTP client of the platform that uses conditional requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;

use super::standin::ScanRow;
use super::{Condition, ObjectStore, ReadError, Revision, Row, TableStore, WriteError};
use crate::web::{Answer, Client, ClientError};

/// Largest answer of the platform, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// The table service and object store behind an HTTP address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    address: SocketAddr,
}

impl HttpPlatform {
    /// Makes a client of the platform at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout, MAX_ANSWER),
            address,
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, ClientError> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri
            .parse()
            .map_err(|e| ClientError::Connect(format!("bad address {uri}: {e}").into()))?;
        *request.headers_mut() = headers;
        self.client.send(request).await
    }

    async fn get_path(&self, path: &str) -> Result<Option<Answer>, ReadError> {
        let answer = self
            .send(Method::GET, path, HeaderMap::new(), Bytes::new())
            .await
            .map_err(|e| ReadError(e.to_string().into()))?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(ReadError(format!("status {status}").into())),
        }
    }

    async fn change(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, WriteError> {
        let answer = self
            .send(method, path, headers, body)
            .await
            .map_err(|e| match e {
                ClientError::Connect(cause) => WriteError::NotSent(cause),
                ClientError::NoAnswer(cause) => WriteError::Unknown(cause),
            })?;
        match answer.status {
            StatusCode::OK | StatusCode::PRECONDITION_FAILED => Ok(answer),
            status => Err(WriteError::Unknown(format!("status {status}").into())),
        }
    }
}

fn read_revision(answer: &Answer) -> Option<Revision> {
    let tag = answer.headers.get(ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(Revision)
}

fn conflict(key: &str, answer: Answer) -> WriteError {
    WriteError::Conflict(read_revision(&answer).map(|revision| Row {
        key: key.into(),
        revision,
        content: answer.body,
    }))
}

fn condition_headers(condition: Condition) -> HeaderMap {
    let mut headers = HeaderMap::new();
    match condition {
        Condition::Absent => {
            headers.insert(IF_NONE_MATCH, http::HeaderValue::from_static("*"));
        }
        Condition::Revision(revision) => {
            if let Ok(tag) = http::HeaderValue::from_str(&format!("\"{revision}\"")) {
                headers.insert(IF_MATCH, tag);
            }
        }
    }
    headers
}

impl TableStore for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, ReadError>> {
        Box::pin(async move {
            let Some(answer) = self.get_path(&format!("/table/{key}")).await? else {
                return Ok(None);
            };
            let revision =
                read_revision(&answer).ok_or(ReadError("the answer has no valid ETag".into()))?;
            Ok(Some(Row {
                key: key.into(),
                revision,
                content: answer.body,
            }))
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        condition: Condition,
        content: Bytes,
    ) -> BoxFuture<'a, Result<Revision, WriteError>> {
        Box::pin(async move {
            let path = format!("/table/{key}");
            let headers = condition_headers(condition);
            let answer = self.change(Method::PUT, &path, headers, content).await?;
            if answer.status == StatusCode::PRECONDITION_FAILED {
                return Err(conflict(key, answer));
            }
            read_revision(&answer).ok_or(WriteError::Unknown("the answer has no valid ETag".into()))
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        revision: Revision,
    ) -> BoxFuture<'a, Result<(), WriteError>> {
        Box::pin(async move {
            let path = format!("/table/{key}");
            let headers = condition_headers(Condition::Revision(revision));
            let answer = self
                .change(Method::DELETE, &path, headers, Bytes::new())
                .await?;
            if answer.status == StatusCode::PRECONDITION_FAILED {
                return Err(conflict(key, answer));
            }
            Ok(())
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>, ReadError>> {
        Box::pin(async move {
            let Some(answer) = self.get_path(&format!("/scan/{prefix}")).await? else {
                return Ok(Vec::new());
            };
            let rows: Vec<ScanRow> = serde_json::from_slice(&answer.body)
                .map_err(|e| ReadError(e.to_string().into()))?;
            Ok(rows.into_iter().map(Row::from).collect())
        })
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, ReadError>> {
        Box::pin(async move {
            let answer = self.get_path(&format!("/objects/{name}")).await?;
            Ok(answer.map(|answer| answer.body))
        })
    }

    fn put<'a>(&'a self, name: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), WriteError>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            self.change(Method::PUT, &path, HeaderMap::new(), content)
                .await
                .map(drop)
        })
    }
}
