//! Between the messages of the peer protocol and the types of a call.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::call::Message;
use super::generated as wire;
use super::id::{attempt_of, id_bytes, id_of};
use super::suspect::suspect_out;
use super::told::{room_in, room_out, told_in, told_out};
use crate::call::{Attempt, CallHead, OnceCall, Reason, Refusal, ReplyHead, Sent, VerdictScope};
use crate::declare::Estate;
use crate::error::Error;
use crate::model::{
    AttemptId, CallId, ClassRank, CrashId, DemandedLevels, Depth, Fingerprint, GuardStatus,
    Instance, Level, Percent, Priority, RankSet, Retries, RootId, Verdict, WorkspaceId,
};
use crate::web::Payload;

/// Most headers of a message.
const MAX_HEADERS: usize = 128;

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Writes headers.
pub(super) fn headers_out(headers: &HeaderMap) -> Vec<wire::Header> {
    headers
        .iter()
        .map(|(name, value)| wire::Header {
            name: Bytes::copy_from_slice(name.as_ref()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Reads headers.
pub(super) fn headers_in(headers: Vec<wire::Header>) -> Result<HeaderMap, Error> {
    if headers.len() > MAX_HEADERS {
        return Err(Error::value("message", "it has too many headers"));
    }
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let wrong = || Error::value("header", String::from_utf8_lossy(&header.name));
        let name = HeaderName::from_bytes(&header.name).map_err(|_| wrong())?;
        let value = HeaderValue::from_maybe_shared(header.value).map_err(|_| wrong())?;
        map.append(name, value);
    }
    Ok(map)
}

/// Writes the head of a call to `instance`, without its headers and its body.
pub(super) fn call_out(
    instance: Instance,
    attempt: AttemptId,
    message: &Message<'_>,
    now: Instant,
) -> wire::CallHead {
    let head = message.head;
    let left = head.deadline.saturating_duration_since(now);
    let once = head.once.as_ref();
    wire::CallHead {
        instance: instance.to_string(),
        attempt: id_bytes(attempt.get()),
        call: id_bytes(head.call.get()),
        root: id_bytes(head.root.get()),
        service: head.service.as_str().to_owned(),
        caller: head
            .caller
            .as_ref()
            .map_or(String::new(), |caller| caller.as_str().to_owned()),
        class: head.class.as_str().to_owned(),
        depth: u32::from(head.depth.get()),
        deadline_ms: millis(left),
        account: message.account.get(),
        once_key: once.map_or(String::new(), |once| once.key.to_string()),
        method: head.method.as_str().to_owned(),
        target: head.target.as_ref().to_owned(),
        headers: Vec::new(),
        streamed: matches!(message.body, Payload::Stream { .. }),
        body: Bytes::new(),
        repeat: head.repeat,
        rank: u32::from(head.priority.rank().get()),
        held: message.held,
        single: head.single_call,
        asked: head
            .fingerprint
            .map_or(Bytes::new(), |asks| id_bytes(asks.digest)),
        asked_by: head.fingerprint.map_or(0, |asks| asks.caller),
        suspect: message.suspect.as_ref().map(|s| suspect_out(s, now)),
        workspace: head.workspace.map_or(0, WorkspaceId::get),
        told: message.told.as_ref().map(told_out),
        waits: message.waits,
    }
}

/// Reads the head of a call; a class that is not declared here has the rank
/// that the sender gave it.
pub(super) fn call_in(
    head: wire::CallHead,
    estate: Option<&Estate>,
    now: Instant,
) -> Result<CallHead, Error> {
    let (rank, class) = match estate.and_then(|estate| estate.class(&head.class)) {
        Some((rank, class)) => (rank, class.name.clone()),
        None => (ClassRank::new(head.rank as usize), head.class.parse()?),
    };
    let root = RootId::new(id_of(&head.root)?);
    let depth = Depth::new(u8::try_from(head.depth).unwrap_or(u8::MAX));
    let once = match head.once_key.as_str() {
        "" => None,
        text => Some(OnceCall { key: text.parse()? }),
    };
    let fingerprint = match head.asked.len() {
        0 => None,
        _ => Some(Fingerprint {
            digest: id_of(&head.asked)?,
            caller: head.asked_by,
        }),
    };
    let caller = match head.caller.as_str() {
        "" => None,
        text => Some(text.parse()?),
    };
    let method = Method::from_bytes(head.method.as_bytes())
        .map_err(|_| Error::value("method", head.method.clone()))?;
    Ok(CallHead {
        attempt: attempt_of(&head.attempt)?,
        call: CallId::new(id_of(&head.call)?),
        root,
        service: head.service.parse()?,
        caller,
        workspace: WorkspaceId::from_raw(head.workspace),
        class,
        priority: if head.single {
            Priority::for_single_call(rank, root)
        } else {
            Priority::new(rank, depth, root)
        },
        depth,
        single_call: head.single,
        deadline: now + Duration::from_millis(u64::from(head.deadline_ms)),
        granted_retries: Retries::new(head.account),
        once,
        repeat: head.repeat,
        method,
        target: head.target.into(),
        headers: headers_in(head.headers)?,
        fingerprint,
        notice: head.told.as_ref().map(told_in),
        may_wait: head.waits,
    })
}

/// Writes the head of an answer, without its headers.
pub(super) fn reply_out(
    attempt: AttemptId,
    head: &ReplyHead,
    body: Option<Bytes>,
) -> wire::AnswerHead {
    let digest = body.as_ref().map_or(0, |body| xxh3_64(body));
    wire::AnswerHead {
        attempt: id_bytes(attempt.get()),
        status: u32::from(head.status.as_u16()),
        headers: Vec::new(),
        streamed: body.is_none(),
        body: body.unwrap_or_default(),
        digest,
        account: head.returned_retries.get(),
        kept: head.from_store,
        level: u32::from(head.guard_status.demand.level.get()),
        below: u32::from(head.guard_status.demand.downstream.get()),
        classes: head.guard_status.demand.downstream_classes.bits(),
        load: head.guard_status.load,
        faults: u32::from(head.guard_status.fault_share.get()),
        leaving: head.guard_status.leaving,
        onward: head.made_calls,
        told: head.guard_status.notice.as_ref().map(told_out),
        room_ms: room_out(head.guard_status.rate_delay),
    }
}

/// Reads the head of an answer.
pub(super) fn reply_in(head: wire::AnswerHead) -> Result<(ReplyHead, Bytes), Error> {
    if !head.streamed && xxh3_64(&head.body) != head.digest {
        return Err(Error::value("answer", "its digest does not fit"));
    }
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .ok_or_else(|| Error::value("status", head.status.to_string()))?;
    let reply = ReplyHead {
        status,
        headers: headers_in(head.headers)?,
        returned_retries: Retries::new(head.account),
        guard_status: GuardStatus {
            demand: DemandedLevels {
                level: Level::from_raw(head.level),
                downstream: Level::from_raw(head.below),
                downstream_classes: RankSet::from_bits(head.classes),
            },
            load: head.load,
            fault_share: Percent::new(head.faults),
            leaving: head.leaving,
            notice: head.told.as_ref().map(told_in),
            rate_delay: room_in(head.room_ms),
        },
        made_calls: head.onward,
        from_store: head.kept,
    };
    Ok((reply, head.body))
}

/// Writes a refusal.
pub(super) fn refusal_out(attempt: AttemptId, refusal: &Refusal) -> wire::Refusal {
    let news = refusal.guard_status.unwrap_or_default();
    wire::Refusal {
        attempt: id_bytes(attempt.get()),
        verdict: refusal.verdict().to_string(),
        reason: refusal.reason().to_string(),
        detail: refusal.detail.to_string(),
        retry_after_ms: refusal.retry_after.map_or(0, millis),
        of_key: refusal.scope() == VerdictScope::Key,
        account: refusal.returned_retries.get(),
        level: u32::from(news.demand.level.get()),
        below: u32::from(news.demand.downstream.get()),
        classes: news.demand.downstream_classes.bits(),
        load: news.load,
        faults: u32::from(news.fault_share.get()),
        leaving: news.leaving,
        told: news.notice.as_ref().map(told_out),
        room_ms: room_out(news.rate_delay),
        crash: refusal.crash.map_or(0, CrashId::get),
    }
}

/// Repeats a refusal that the other side sent.
pub(super) fn refusal_in(attempt: Attempt<Sent>, message: &wire::Refusal) -> Refusal {
    let parts = attempt_of(&message.attempt).and_then(|of| {
        let verdict: Verdict = message.verdict.parse()?;
        let reason: Reason = message.reason.parse()?;
        Ok((of, verdict, reason))
    });
    let (of, verdict, reason) = match parts {
        Ok(parts) => parts,
        Err(e) => return attempt.abandon(Reason::InvalidAnswer, e.to_string()),
    };
    let mut refusal = attempt.relay_refusal(of, verdict, reason, &message.detail);
    if refusal.reason() == reason {
        if message.of_key {
            refusal = refusal.with_key_scope();
        }
        refusal.returned_retries = Retries::new(message.account);
        refusal.crash = (message.crash != 0).then(|| CrashId::new(message.crash));
        refusal.retry_after = match message.retry_after_ms {
            0 => None,
            ms => Some(Duration::from_millis(u64::from(ms))),
        };
        refusal.guard_status = Some(GuardStatus {
            demand: DemandedLevels {
                level: Level::from_raw(message.level),
                downstream: Level::from_raw(message.below),
                downstream_classes: RankSet::from_bits(message.classes),
            },
            load: message.load,
            fault_share: Percent::new(message.faults),
            leaving: message.leaving,
            notice: message.told.as_ref().map(told_in),
            rate_delay: room_in(message.room_ms),
        });
    }
    refusal
}
