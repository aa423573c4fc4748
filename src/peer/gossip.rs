//! Exchange of membership, configuration and ownership rows with neighbours.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::time::Instant;

use super::generated as wire;
use super::member::{decode_member, encode_member, encode_ownership};
use super::pool::Pool;
use super::query::{EXCHANGE_TIMEOUT, ExchangeError, query};
use super::rollout::{fetch_configuration, requested_documents};
use super::suspect::{decode_suspects, encode_suspects};
use crate::error::Error;
use crate::model::{Instance, ServiceName, Version};
use crate::policy::member::{ChangeCount, Member, SyncPosition, VersionDecision, View};
use crate::policy::once::OwnershipRow;
use crate::store::Revision;
use crate::tables::Shared;

/// Maximum number of members in one message; the others follow in the next.
const MAX_PAGE_MEMBERS: usize = 256;
/// Maximum number of members sent to an unknown daemon. When all daemons start
/// at once, each queries the few named in the settings, and the data that these
/// send grows with the number of daemons.
const FIRST_PAGE_MEMBERS: usize = 64;

/// The outcome of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeOutcome {
    /// The changes that the two sides have sent each other so far.
    pub position: SyncPosition,
    /// Whether the views of both sides are the same.
    pub same_view: bool,
    /// The instance that answered.
    pub instance: Instance,
}

/// Exchanges updates with the daemon at `address`.
///
/// # Errors
///
/// Fails if the daemon does not answer in time, or with an invalid message.
pub async fn exchange(
    shared: &Shared,
    pool: &Pool,
    address: SocketAddr,
    position: SyncPosition,
) -> Result<ExchangeOutcome, ExchangeError> {
    let (request, sent) = request(shared, position);
    let answer = query(pool, address, request).await?;
    let instance: Instance = answer
        .from
        .parse()
        .map_err(|e: Error| ExchangeError(e.to_string().into()))?;
    shared.role_tracker.lock().record_answer(Instant::now());
    let members = read_members(&answer.members);
    if members.len() < FIRST_PAGE_MEMBERS {
        // The neighbour has sent all members that it knows.
        shared.readiness.set_members_known();
    }
    let known = merge_members(shared, |view, now| {
        view.merge_reply(now, members.into_iter(), sent.members)
    });
    let same_view = shared.view.lock().digest() == answer.digest;
    merge_ownership(shared, &answer.homes);
    shared.merge_suspects(&decode_suspects(&answer.suspects));
    if shared.current.decide(Version::new(answer.version)) == VersionDecision::Apply {
        fetch_configuration(shared, pool, address, &answer).await?;
    }
    let position = SyncPosition {
        sent: Some(known),
        received: ChangeCount(answer.change),
        homes_received: ChangeCount(answer.homes_change),
        // A restarted daemon does not have the updates sent before.
        suspects_sent: match position.instance {
            Some(of) if of != instance => ChangeCount::default(),
            _ => sent.suspects,
        },
        suspects_received: ChangeCount(answer.suspects_change),
        instance: Some(instance),
    };
    Ok(ExchangeOutcome {
        position,
        same_view,
        instance,
    })
}

/// Queries the configuration version of a member over a temporary connection.
/// Returns `None` if it does not answer in time.
pub async fn query_version(shared: &Shared, pool: &Pool, instance: Instance) -> Option<Version> {
    // Only the version is needed, so everything else is marked as seen.
    let request = wire::ExchangeRequest {
        from: shared.instance.to_string(),
        version: shared.current.version().get(),
        seen: u64::MAX,
        homes_seen: u64::MAX,
        suspects_seen: u64::MAX,
        seen_of: instance.to_string(),
        homes_digest: shared.ownership.digest(),
        ..Default::default()
    };
    let mut client = pool.new_client(instance.address)?;
    let queried = tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(request)).await;
    let answer = queried.ok()?.ok()?.into_inner();
    (answer.from == instance.to_string()).then(|| Version::new(answer.version))
}

/// The last changes that a request contains.
struct SentChanges {
    members: ChangeCount,
    suspects: ChangeCount,
}

fn request(shared: &Shared, position: SyncPosition) -> (wire::ExchangeRequest, SentChanges) {
    let (suspects, suspects_change) = shared.suspects.changes_since(position.suspects_sent);
    let homes_digest = shared.ownership.digest();
    let version = shared.current.version().get();
    let view = shared.view.lock();
    let page = view.page(position.sent.unwrap_or_default(), MAX_PAGE_MEMBERS, &[]);
    let request = wire::ExchangeRequest {
        from: shared.instance.to_string(),
        members: page.members.iter().map(encode_member).collect(),
        version,
        want: Vec::new(),
        seen: position.received.0,
        homes_seen: position.homes_received.0,
        seen_of: position.instance.map_or(String::new(), |of| of.to_string()),
        homes_digest,
        suspects: encode_suspects(&suspects),
        suspects_seen: position.suspects_received.0,
    };
    let sent = SentChanges {
        members: page.change,
        suspects: suspects_change,
    };
    (request, sent)
}

/// Decodes members, and skips invalid ones.
fn read_members(members: &[wire::Member]) -> Vec<Member> {
    members
        .iter()
        .filter_map(|m| decode_member(m).ok())
        .collect()
}

/// Updates the view, and propagates the change if there is one.
fn merge_members<T>(shared: &Shared, update: impl FnOnce(&mut View, Instant) -> T) -> T {
    let (result, changed) = {
        let mut view = shared.view.lock();
        let before = view.change();
        let result = update(&mut view, Instant::now());
        (result, view.change() != before)
    };
    if changed {
        shared.members_changed();
    }
    result
}

fn merge_ownership(shared: &Shared, homes: &[wire::HomeRow]) {
    for home in homes {
        let service: Result<ServiceName, _> = home.key.parse();
        if let (Ok(service), Ok(row)) = (service, OwnershipRow::decode(&home.content)) {
            shared
                .ownership
                .update(&service, Revision(home.revision), row);
        }
    }
}

/// Answers an exchange, and schedules a query to the sender if it may have
/// newer data.
pub(super) fn answer(shared: &Shared, request: &wire::ExchangeRequest) -> wire::ExchangeReply {
    let (reply, has_updates) = reply(shared, request);
    if has_updates && let Ok(from) = request.from.parse::<Instance>() {
        shared.query_later(from.address);
    }
    reply
}

/// Answers an exchange, and returns whether the sender should be queried for
/// newer data.
fn reply(shared: &Shared, request: &wire::ExchangeRequest) -> (wire::ExchangeReply, bool) {
    let members = read_members(&request.members);
    merge_members(shared, |view, now| {
        view.merge_all(now, members.iter().cloned())
    });
    shared.merge_suspects(&decode_suspects(&request.suspects));
    let in_force = shared.current.get();
    let version = shared.current.version();
    let sender = Version::new(request.version);
    let known = request.seen_of == shared.instance.to_string();
    let since = |seen: u64| {
        if known {
            ChangeCount(seen)
        } else {
            ChangeCount::default()
        }
    };
    let (homes, homes_change) = shared.ownership.changes_since(since(request.homes_seen));
    let (suspects, suspects_change) = shared.suspects.changes_since(since(request.suspects_seen));
    let view = shared.view.lock();
    let page_size = if known {
        MAX_PAGE_MEMBERS
    } else {
        FIRST_PAGE_MEMBERS
    };
    let page = view.page(since(request.seen), page_size, &members);
    let reply = wire::ExchangeReply {
        from: shared.instance.to_string(),
        digest: view.digest(),
        members: page.members.iter().map(encode_member).collect(),
        change: page.change.0,
        version: version.get(),
        manifest: match &in_force {
            Some(in_force) if sender < version => in_force.manifest.encode().into(),
            _ => Bytes::new(),
        },
        documents: requested_documents(in_force.as_deref(), &request.want),
        homes: homes.iter().map(encode_ownership).collect(),
        homes_change: homes_change.0,
        suspects: encode_suspects(&suspects),
        suspects_change: suspects_change.0,
    };
    drop(view);
    let is_gossip = request.want.is_empty();
    let has_updates = sender > version || request.homes_digest != shared.ownership.digest();
    (reply, is_gossip && has_updates)
}
