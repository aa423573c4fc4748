//! Exchange of membership, configuration and home rows with neighbours.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::time::Instant;

use super::ask::{ExchangeError, TIMEOUT, ask};
use super::generated as wire;
use super::member::{home_out, member_in, member_out};
use super::pool::Pool;
use super::rollout::{fetch, wanted};
use super::suspect::{suspects_in, suspects_out};
use crate::error::Error;
use crate::model::{Instance, ServiceName, Version};
use crate::policy::member::{ChangeCount, Member, SyncPosition, VersionDecision, View};
use crate::policy::once::OwnershipRow;
use crate::store::Revision;
use crate::tables::Shared;

/// Members told in one message, at most; the others follow with the next.
const PAGE: usize = 256;
/// Members told to a daemon that is not known. In a start of all each asks the
/// few that the settings name, and what those send grows with their number.
const FIRST_PAGE: usize = 64;

/// What an exchange brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchanged {
    /// How far the two sides have told each other.
    pub told: SyncPosition,
    /// Whether both views are the same.
    pub same: bool,
    /// The instance that answered.
    pub instance: Instance,
}

/// Exchanges news with the daemon at `address`.
///
/// # Errors
///
/// Fails if it does not answer in time.
pub async fn exchange(
    shared: &Shared,
    pool: &Pool,
    address: SocketAddr,
    told: SyncPosition,
) -> Result<Exchanged, ExchangeError> {
    let (request, sent) = request(shared, told);
    let answer = ask(pool, address, request).await?;
    let instance: Instance = answer
        .from
        .parse()
        .map_err(|e: Error| ExchangeError(e.to_string().into()))?;
    shared.role_tracker.lock().record_answer(Instant::now());
    let members = read_members(&answer.members);
    if members.len() < FIRST_PAGE {
        // The neighbour has told all that it knows.
        shared.readiness.set_members_known();
    }
    let known = take_members(shared, |view, now| {
        view.merge_reply(now, members.into_iter(), sent.members)
    });
    let same = shared.view.lock().digest() == answer.digest;
    take_homes(shared, &answer.homes);
    shared.merge_suspects(&suspects_in(&answer.suspects));
    if shared.current.decide(Version::new(answer.version)) == VersionDecision::Apply {
        fetch(shared, pool, address, &answer).await?;
    }
    let told = SyncPosition {
        sent: Some(known),
        received: ChangeCount(answer.change),
        homes_received: ChangeCount(answer.homes_change),
        // Another run of the daemon knows nothing of what was told before.
        suspects_sent: match told.instance {
            Some(of) if of != instance => ChangeCount::default(),
            _ => sent.suspects,
        },
        suspects_received: ChangeCount(answer.suspects_change),
        instance: Some(instance),
    };
    Ok(Exchanged {
        told,
        same,
        instance,
    })
}

/// Asks a member which configuration it runs, over a connection that is not
/// kept; `None` if it does not answer in time.
pub async fn version_of(shared: &Shared, pool: &Pool, instance: Instance) -> Option<Version> {
    // Nothing but the version is wanted, so all else counts as seen.
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
    let mut client = pool.fresh(instance.address)?;
    let asked = tokio::time::timeout(TIMEOUT, client.exchange(request)).await;
    let answer = asked.ok()?.ok()?.into_inner();
    (answer.from == instance.to_string()).then(|| Version::new(answer.version))
}

/// Up to which changes a request tells.
struct Sent {
    members: ChangeCount,
    suspects: ChangeCount,
}

fn request(shared: &Shared, told: SyncPosition) -> (wire::ExchangeRequest, Sent) {
    let (suspects, suspects_change) = shared.suspects.changes_since(told.suspects_sent);
    let homes_digest = shared.ownership.digest();
    let version = shared.current.version().get();
    let view = shared.view.lock();
    let page = view.page(told.sent.unwrap_or_default(), PAGE, &[]);
    let request = wire::ExchangeRequest {
        from: shared.instance.to_string(),
        members: page.members.iter().map(member_out).collect(),
        version,
        want: Vec::new(),
        seen: told.received.0,
        homes_seen: told.homes_received.0,
        seen_of: told.instance.map_or(String::new(), |of| of.to_string()),
        homes_digest,
        suspects: suspects_out(&suspects),
        suspects_seen: told.suspects_received.0,
    };
    let sent = Sent {
        members: page.change,
        suspects: suspects_change,
    };
    (request, sent)
}

/// Reads members; those that cannot be read are passed over.
fn read_members(members: &[wire::Member]) -> Vec<Member> {
    members.iter().filter_map(|m| member_in(m).ok()).collect()
}

/// Takes news of members, and passes on what is new.
fn take_members<T>(shared: &Shared, take: impl FnOnce(&mut View, Instant) -> T) -> T {
    let (taken, changed) = {
        let mut view = shared.view.lock();
        let before = view.change();
        let taken = take(&mut view, Instant::now());
        (taken, view.change() != before)
    };
    if changed {
        shared.members_changed();
    }
    taken
}

fn take_homes(shared: &Shared, homes: &[wire::HomeRow]) {
    for home in homes {
        let service: Result<ServiceName, _> = home.key.parse();
        if let (Ok(service), Ok(row)) = (service, OwnershipRow::decode(&home.content)) {
            shared
                .ownership
                .update(&service, Revision(home.revision), row);
        }
    }
}

/// Answers an exchange, and has the sender asked for what is known only there.
pub(super) fn answer(shared: &Shared, request: &wire::ExchangeRequest) -> wire::ExchangeReply {
    let (reply, worth) = reply(shared, request);
    if worth && let Ok(from) = request.from.parse::<Instance>() {
        shared.query_later(from.address);
    }
    reply
}

/// Answers an exchange; returns also whether the sender knows something that
/// is worth asking it for.
fn reply(shared: &Shared, request: &wire::ExchangeRequest) -> (wire::ExchangeReply, bool) {
    let told = read_members(&request.members);
    take_members(shared, |view, now| {
        view.merge_all(now, told.iter().cloned())
    });
    shared.merge_suspects(&suspects_in(&request.suspects));
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
    let most = if known { PAGE } else { FIRST_PAGE };
    let page = view.page(since(request.seen), most, &told);
    let reply = wire::ExchangeReply {
        from: shared.instance.to_string(),
        digest: view.digest(),
        members: page.members.iter().map(member_out).collect(),
        change: page.change.0,
        version: version.get(),
        manifest: match &in_force {
            Some(in_force) if sender < version => in_force.manifest.encode().into(),
            _ => Bytes::new(),
        },
        documents: wanted(in_force.as_deref(), &request.want),
        homes: homes.iter().map(home_out).collect(),
        homes_change: homes_change.0,
        suspects: suspects_out(&suspects),
        suspects_change: suspects_change.0,
    };
    drop(view);
    let asks = request.want.is_empty();
    let worth = sender > version || request.homes_digest != shared.ownership.digest();
    (reply, asks && worth)
}
