//! Receives the announcements of the own backend server in the platform's format.

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
use crate::policy::resource::ConnectionGroup;
use crate::web::{CallerAnswer, HttpListener, ListenOptions, caller_text, listen_within};

/// Path prefix of announcements; the server's id follows.
const PATH_PREFIX: &str = "/instances/";
/// Largest body in bytes; announcements have about 200.
const MAX_BODY: usize = 16 * 1024;
/// Body of the answer to an accepted request.
const ACKNOWLEDGEMENT: &str = "{}";
const JSON_CONTENT_TYPE: &str = "application/json";
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

#[derive(Debug, Deserialize)]
struct AnnouncementBody {
    /// The service of the server.
    upstream: ServiceName,
    slots: u32,
    state: ServerState,
    /// Remaining time of the slow phase after a start, in seconds.
    #[serde(rename = "coldLeftS", default)]
    cold_left: f64,
    sequence: u64,
    /// The start of this run, in Unix milliseconds; older servers leave it out.
    #[serde(default)]
    born: Option<u64>,
}

/// Optional body of a DELETE; most servers send none.
#[derive(Debug, Deserialize)]
struct DepartureBody {
    born: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ServerState {
    Ready,
    Draining,
}

impl AnnouncementBody {
    fn to_announcement(&self, server: ServerId) -> Announcement {
        Announcement {
            server,
            start: self.born.map(ServerStart::from_millis),
            intent: match self.state {
                ServerState::Ready => Intent::Serve,
                ServerState::Draining => Intent::Leave,
            },
            slots: Slots::new(self.slots.max(1)),
            cold: self.cold_left > 0.0,
            sequence: self.sequence,
        }
    }
}

/// Serves the endpoint to which the own backend server announces itself.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_announcements(
    address: SocketAddr,
    guard: Arc<Guard>,
) -> Result<HttpListener, Error> {
    let options = ListenOptions::new(guard.resources().clone(), ConnectionGroup::Platform);
    let handler = move |request, _| {
        let guard = Arc::clone(&guard);
        async move { handle(&guard, request).await }
    };
    listen_within(address, options, handler).await
}

async fn handle(guard: &Guard, request: Request<Incoming>) -> CallerAnswer {
    let (head, body) = request.into_parts();
    let id = head.uri.path().strip_prefix(PATH_PREFIX);
    let Some(Ok(server)) = id.map(str::parse::<ServerId>) else {
        return caller_text(
            StatusCode::NOT_FOUND,
            TEXT_CONTENT_TYPE,
            "no such resource\n",
        );
    };
    match head.method {
        Method::PUT => match read_body(body, &server).await {
            Ok((service, announcement)) => receive(guard, &service, &announcement),
            Err(cause) => reject(&server, &cause),
        },
        Method::DELETE => {
            guard.record_departure(&server, read_departure(body).await);
            spdlog::info!("backend server departed", kv: { server = server.as_str() });
            acknowledge()
        }
        _ => caller_text(
            StatusCode::METHOD_NOT_ALLOWED,
            TEXT_CONTENT_TYPE,
            "PUT or DELETE\n",
        ),
    }
}

async fn read_body(
    body: Incoming,
    server: &ServerId,
) -> Result<(ServiceName, Announcement), Box<str>> {
    read_announcement(&collect_body(body).await?, server)
}

/// Parses the announcement of a server and the name of its service.
///
/// # Errors
///
/// Fails if a field is missing, has another type or holds an unknown value, as in
/// an announcement of another writer. Such a body makes no server available.
pub fn read_announcement(
    body: &[u8],
    server: &ServerId,
) -> Result<(ServiceName, Announcement), Box<str>> {
    let body: AnnouncementBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let announcement = body.to_announcement(server.clone());
    Ok((body.upstream, announcement))
}

/// Returns the run that departs, if the server names it.
async fn read_departure(body: Incoming) -> Option<ServerStart> {
    let body = collect_body(body).await.ok()?;
    let departure: DepartureBody = serde_json::from_slice(&body).ok()?;
    Some(ServerStart::from_millis(departure.born))
}

async fn collect_body(body: Incoming) -> Result<Bytes, Box<str>> {
    let body = Limited::new(body, MAX_BODY).collect().await;
    Ok(body.map_err(|e| e.to_string())?.to_bytes())
}

fn receive(guard: &Guard, service: &ServiceName, announcement: &Announcement) -> CallerAnswer {
    let server = &announcement.server;
    if service != guard.service() {
        return reject(
            server,
            "the server belongs to another service than this VM's",
        );
    }
    let effect = guard.receive_announcement(announcement);
    let text = match effect {
        AnnouncementEffect::Renewed => return acknowledge(),
        AnnouncementEffect::Arrived => "arrived",
        AnnouncementEffect::Resumed => "stays",
        AnnouncementEffect::Leaving => "leaving",
        AnnouncementEffect::Stale => "old news",
    };
    spdlog::info!("backend server announced", kv: {
        server = server.as_str(), change = text, sequence = announcement.sequence
    });
    acknowledge()
}

fn acknowledge() -> CallerAnswer {
    caller_text(StatusCode::OK, JSON_CONTENT_TYPE, ACKNOWLEDGEMENT)
}

fn reject(server: &ServerId, cause: &str) -> CallerAnswer {
    spdlog::warn!("announcement rejected", kv: { server = server.as_str(), cause });
    caller_text(
        StatusCode::BAD_REQUEST,
        TEXT_CONTENT_TYPE,
        format!("{cause}\n"),
    )
}
