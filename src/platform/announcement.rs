//! Announcements of the backend server in the platform's words.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;

use crate::error::Error;
use crate::guard::Guard;
use crate::model::{ServerId, ServerStart, ServiceName, Slots};
use crate::policy::member::{Announcement, AnnouncementEffect, Intent};
use crate::web::{CallerAnswer, HttpListener, caller_text, listen};

/// What the paths of announcements begin with; the server's id follows.
const PATH: &str = "/instances/";
/// Largest announcement, in bytes; they have about 200.
const MAX_BODY: usize = 16 * 1024;
/// The body of an acknowledgement.
const ACKNOWLEDGED: &str = "{}";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

#[derive(Debug, Deserialize)]
struct Beat {
    /// The service of the server.
    upstream: ServiceName,
    slots: u32,
    state: BeatState,
    /// How much longer the server is slow after its start, in seconds.
    #[serde(rename = "coldLeftS", default)]
    cold_left: f64,
    sequence: u64,
    /// The start of this run, in Unix milliseconds; older servers do not tell.
    #[serde(default)]
    born: Option<u64>,
}

/// What a goodbye may carry; most have no body.
#[derive(Debug, Deserialize)]
struct Goodbye {
    born: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BeatState {
    Ready,
    Draining,
}

impl Beat {
    fn announcement(&self, server: ServerId) -> Announcement {
        Announcement {
            server,
            start: self.born.map(ServerStart::from_millis),
            intent: match self.state {
                BeatState::Ready => Intent::Serve,
                BeatState::Draining => Intent::Leave,
            },
            slots: Slots::new(self.slots.max(1)),
            cold: self.cold_left > 0.0,
            sequence: self.sequence,
        }
    }
}

/// Takes the announcements of the own backend server.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_announcements(
    address: SocketAddr,
    guard: Arc<Guard>,
) -> Result<HttpListener, Error> {
    listen(address, move |request, _| {
        let guard = Arc::clone(&guard);
        async move { handle(&guard, request).await }
    })
    .await
}

async fn handle(guard: &Guard, request: Request<Incoming>) -> CallerAnswer {
    let (head, body) = request.into_parts();
    let id = head.uri.path().strip_prefix(PATH);
    let Some(Ok(server)) = id.map(str::parse::<ServerId>) else {
        return caller_text(StatusCode::NOT_FOUND, TEXT, "no such resource\n");
    };
    match head.method {
        Method::PUT => match read(body, &server).await {
            Ok((service, news)) => announce(guard, &service, &news),
            Err(cause) => refused(&server, &cause),
        },
        Method::DELETE => {
            guard.record_departure(&server, goodbye(body).await);
            spdlog::info!("backend server says goodbye", kv: { server = server.as_str() });
            acknowledged()
        }
        _ => caller_text(StatusCode::METHOD_NOT_ALLOWED, TEXT, "PUT or DELETE\n"),
    }
}

async fn read(body: Incoming, server: &ServerId) -> Result<(ServiceName, Announcement), Box<str>> {
    read_announcement(&collect(body).await?, server)
}

/// Reads an announcement of a server and of which service it is.
///
/// # Errors
///
/// Fails if a field is missing, of another type or not known, as where another
/// writer made it; it names no server to use then.
pub fn read_announcement(
    body: &[u8],
    server: &ServerId,
) -> Result<(ServiceName, Announcement), Box<str>> {
    let beat: Beat = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let news = beat.announcement(server.clone());
    Ok((beat.upstream, news))
}

/// Returns which run says goodbye, if its server tells.
async fn goodbye(body: Incoming) -> Option<ServerStart> {
    let body = collect(body).await.ok()?;
    let goodbye: Goodbye = serde_json::from_slice(&body).ok()?;
    Some(ServerStart::from_millis(goodbye.born))
}

async fn collect(body: Incoming) -> Result<Bytes, Box<str>> {
    let body = Limited::new(body, MAX_BODY).collect().await;
    Ok(body.map_err(|e| e.to_string())?.to_bytes())
}

fn announce(guard: &Guard, service: &ServiceName, news: &Announcement) -> CallerAnswer {
    let server = &news.server;
    if service != guard.service() {
        return refused(server, "it is of another service than this VM's");
    }
    let change = guard.receive_announcement(news);
    let told = match change {
        AnnouncementEffect::Renewed => return acknowledged(),
        AnnouncementEffect::Arrived => "arrived",
        AnnouncementEffect::Resumed => "stays",
        AnnouncementEffect::Leaving => "leaving",
        AnnouncementEffect::Stale => "old news",
    };
    spdlog::info!("backend server announced", kv: {
        server = server.as_str(), change = told, sequence = news.sequence
    });
    acknowledged()
}

fn acknowledged() -> CallerAnswer {
    caller_text(StatusCode::OK, JSON, ACKNOWLEDGED)
}

fn refused(server: &ServerId, cause: &str) -> CallerAnswer {
    spdlog::warn!("announcement not understood", kv: { server = server.as_str(), cause });
    caller_text(StatusCode::BAD_REQUEST, TEXT, format!("{cause}\n"))
}
