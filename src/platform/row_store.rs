//! HTTP client of the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::header::{CONTENT_TYPE, IF_NONE_MATCH};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use super::row::{RowName, RowPage, Transaction};
use crate::store::{
    Changes, Condition, Era, Eras, Feed, FeedError, ObjectStore, ReadError, Revision, Row,
    TableStore, WriteError,
};
use crate::web::{Answer, Client, ClientError};

/// Largest answer, in bytes: a page of rows with its framing.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// Rows requested per page; the store returns at most 500.
const PAGE_ROWS: usize = 500;
/// Added to the requested wait of a feed to get the timeout of its request.
const FEED_SLACK: Duration = Duration::from_millis(750);
/// Incremented each time that the store is restored from a backup.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Longest wait of a feed that the store allows.
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// The platform's store behind an HTTP address.
#[derive(Clone, Debug)]
pub struct RowStore {
    client: Client,
    feeds: Client,
    address: SocketAddr,
    eras: Arc<Eras>,
}

impl RowStore {
    /// Makes a client of the store at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout, MAX_ANSWER),
            feeds: Client::new(MAX_FEED_WAIT + FEED_SLACK, MAX_ANSWER),
            address,
            eras: Arc::default(),
        }
    }

    /// Records the era that an answer carries, if any.
    fn record_era(&self, answer: Answer) -> Answer {
        let header = answer
            .headers
            .get(&ERA_HEADER)
            .and_then(|era| era.to_str().ok());
        if let Some(era) = header.and_then(|era| era.trim().parse().ok()) {
            self.eras.record(Era(era));
        }
        answer
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri
            .parse()
            .map_err(|e| ClientError::Connect(format!("bad address {uri}: {e}").into()))?;
        Ok(request)
    }

    async fn get(&self, path: &str) -> Result<Answer, ReadError> {
        let read_error = |e: ClientError| ReadError(e.to_string().into());
        let request = self
            .request(Method::GET, path, Bytes::new())
            .map_err(read_error)?;
        let answer = self.client.send(request).await.map_err(read_error)?;
        Ok(self.record_era(answer))
    }

    async fn page(&self, path: &str) -> Result<RowPage, ReadError> {
        let answer = self.get(path).await?;
        match answer.status {
            StatusCode::OK => decode(&answer).map_err(ReadError),
            status => Err(ReadError(format!("status {status}").into())),
        }
    }

    /// Sends a change; a status of 429 or 503 means that the store did nothing.
    async fn change(&self, request: Request<Full<Bytes>>) -> Result<Answer, WriteError> {
        let answer = self.client.send(request).await.map_err(|e| match e {
            ClientError::Connect(cause) => WriteError::NotSent(cause),
            ClientError::NoAnswer(cause) => WriteError::Unknown(cause),
        })?;
        let answer = self.record_era(answer);
        let cause = || format!("status {}", answer.status).into();
        match answer.status {
            StatusCode::OK | StatusCode::PRECONDITION_FAILED => Ok(answer),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(WriteError::NotSent(cause()))
            }
            _ => Err(WriteError::Unknown(cause())),
        }
    }

    async fn transact(&self, key: &str, change: &Transaction) -> Result<Revision, WriteError> {
        let body = serde_json::to_vec(change).map_err(|e| WriteError::NotSent(text(&e)))?;
        let mut request = self
            .request(Method::POST, "/rows-tx", body.into())
            .map_err(|e| WriteError::NotSent(text(&e)))?;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        let answer = self.change(request).await?;
        let page: RowPage = decode(&answer).map_err(WriteError::Unknown)?;
        if answer.status == StatusCode::OK {
            return Ok(Revision(page.ver));
        }
        let mut rows = page.rows().into_iter();
        Err(WriteError::Conflict(rows.find(|row| *row.key == *key)))
    }
}

fn text(error: &dyn std::fmt::Display) -> Box<str> {
    error.to_string().into()
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, Box<str>> {
    serde_json::from_slice(&answer.body).map_err(|e| text(&e))
}

/// Percent-encodes a text for a path or query.
fn percent_encode(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}

impl TableStore for RowStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, ReadError>> {
        Box::pin(async move {
            let name = RowName::parse(key);
            // The end of the range is exclusive, so that it holds only this row.
            let path = format!(
                "/rows-get?tableName={}&part=&from={}&to={}&limit=1",
                percent_encode(&name.table),
                percent_encode(&name.key),
                percent_encode(&format!("{}\0", name.key)),
            );
            let page = self.page(&path).await?;
            let mut rows = page.rows().into_iter();
            Ok(rows.find(|row| *row.key == *key))
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        condition: Condition,
        content: Bytes,
    ) -> BoxFuture<'a, Result<Revision, WriteError>> {
        Box::pin(async move {
            let change = Transaction::write(RowName::parse(key), condition, &content);
            self.transact(key, &change).await
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        revision: Revision,
    ) -> BoxFuture<'a, Result<(), WriteError>> {
        Box::pin(async move {
            let change = Transaction::remove(RowName::parse(key), revision);
            self.transact(key, &change).await.map(drop)
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>, ReadError>> {
        Box::pin(async move {
            let name = RowName::parse(prefix);
            let mut all: Vec<Row> = Vec::new();
            let mut from = name.key.to_string();
            loop {
                let path = format!(
                    "/rows-get?tableName={}&part=&from={}&limit={PAGE_ROWS}",
                    percent_encode(&name.table),
                    percent_encode(&from),
                );
                let page = self.page(&path).await?;
                let found = page.rows();
                let beyond = found.iter().any(|row| !row.key.starts_with(prefix));
                all.extend(found.into_iter().filter(|row| row.key.starts_with(prefix)));
                // A page of invalid rows does not end the scan; it continues after
                // their last key.
                let last = page.last_key().filter(|last| **last >= *from);
                match last {
                    Some(last) if page.more && !beyond => from = format!("{last}\0"),
                    _ => return Ok(all),
                }
            }
        })
    }

    fn restores(&self) -> watch::Receiver<u64> {
        self.eras.restores()
    }
}

impl Feed for RowStore {
    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, FeedError>> {
        Box::pin(async move {
            let wait = wait.min(MAX_FEED_WAIT);
            let path = format!(
                "/rows-feed?tableName={}&after={after}&waitMs={}",
                percent_encode(table),
                wait.as_millis()
            );
            let failed = |e: ClientError| FeedError::Failed(text(&e));
            let request = self
                .request(Method::GET, &path, Bytes::new())
                .map_err(failed)?;
            let answer = self.feeds.send_within(request, wait + FEED_SLACK).await;
            let answer = self.record_era(answer.map_err(failed)?);
            match answer.status {
                StatusCode::OK => {}
                StatusCode::GONE => return Err(FeedError::HistoryExpired),
                status => return Err(FeedError::Failed(format!("status {status}").into())),
            }
            let page: RowPage = decode(&answer).map_err(FeedError::Failed)?;
            Ok(Changes {
                changes: page.found().map(|found| found.change()).collect(),
                revision: Revision(page.ver),
            })
        })
    }
}

impl ObjectStore for RowStore {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, ReadError>> {
        Box::pin(async move {
            let answer =
                RowStore::get(self, &format!("/blob-get/{}", percent_encode(name))).await?;
            match answer.status {
                StatusCode::OK => Ok(Some(answer.body)),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(ReadError(format!("status {status}").into())),
            }
        })
    }

    fn put<'a>(&'a self, name: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), WriteError>> {
        Box::pin(async move {
            let path = format!("/blob-put/{}", percent_encode(name));
            let mut request = self
                .request(Method::PUT, &path, content)
                .map_err(|e| WriteError::NotSent(text(&e)))?;
            let any = HeaderValue::from_static("*");
            request.headers_mut().insert(IF_NONE_MATCH, any);
            // An existing object has the same content, since objects are named by
            // their content.
            self.change(request).await.map(drop)
        })
    }
}
