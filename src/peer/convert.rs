//! Conversions between messages of the peer protocol and the types of a call.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::call::OutgoingCall;
use super::generated as wire;
use super::id::{decode_attempt_id, decode_id, encode_id};
use super::notice::{decode_notice, decode_rate_delay, encode_notice, encode_rate_delay};
use super::suspect::{decode_suspects, encode_suspect, encode_suspects};
use crate::call::{
    Attempt, CallHead, CrashReport, OnceCall, Reason, Refusal, ReplyHead, Sent, VerdictScope,
};
use crate::declare::Estate;
use crate::error::Error;
use crate::model::{
    AttemptId, CallId, ClassRank, CrashId, DemandedLevels, Depth, Fingerprint, GuardStatus,
    Instance, Level, Percent, Priority, RankSet, Retries, RootId, Verdict, WorkspaceId,
};
use crate::web::Payload;

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 128;

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<wire::Header> {
    headers
        .iter()
        .map(|(name, value)| wire::Header {
            name: Bytes::copy_from_slice(name.as_ref()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Decodes headers.
///
/// # Errors
///
/// Fails if there are too many headers, or one is invalid.
pub(super) fn decode_headers(headers: Vec<wire::Header>) -> Result<HeaderMap, Error> {
    if headers.len() > MAX_HEADERS {
        return Err(Error::value("message", "it has too many headers"));
    }
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let invalid = || Error::value("header", String::from_utf8_lossy(&header.name));
        let name = HeaderName::from_bytes(&header.name).map_err(|_| invalid())?;
        let value = HeaderValue::from_maybe_shared(header.value).map_err(|_| invalid())?;
        map.append(name, value);
    }
    Ok(map)
}

/// Encodes the head of a call to `instance`, without its headers and body.
pub(super) fn encode_call(
    instance: Instance,
    attempt: AttemptId,
    message: &OutgoingCall<'_>,
    now: Instant,
) -> wire::CallHead {
    let head = message.head;
    let left = head.deadline.saturating_duration_since(now);
    let useful = head.expires.saturating_duration_since(now);
    let once = head.once.as_ref();
    wire::CallHead {
        instance: instance.to_string(),
        attempt: encode_id(attempt.get()),
        call: encode_id(head.call.get()),
        root: encode_id(head.root.get()),
        service: head.service.as_str().to_owned(),
        caller: head
            .caller
            .as_ref()
            .map_or(String::new(), |caller| caller.as_str().to_owned()),
        class: head.class.as_str().to_owned(),
        depth: u32::from(head.depth.get()),
        deadline_ms: millis(left),
        expires_ms: if head.expires < head.deadline {
            millis(useful).max(1)
        } else {
            0
        },
        account: message.granted_retries.get(),
        once_key: once.map_or(String::new(), |once| once.key.to_string()),
        method: head.method.as_str().to_owned(),
        target: head.target.as_ref().to_owned(),
        headers: Vec::new(),
        streamed: matches!(message.body, Payload::Stream { .. }),
        body: Bytes::new(),
        repeat: head.repeat,
        rank: u32::from(head.priority.rank().get()),
        held: message.needs_confirm,
        single: head.single_call,
        asked: head
            .fingerprint
            .map_or(Bytes::new(), |fingerprint| encode_id(fingerprint.digest)),
        asked_by: head.fingerprint.map_or(0, |fingerprint| fingerprint.caller),
        suspect: message.suspect.as_ref().map(|s| encode_suspect(s, now)),
        workspace: head.workspace.map_or(0, WorkspaceId::get),
        told: message.notice.as_ref().map(encode_notice),
        waits: message.may_wait,
    }
}

/// Decodes the head of a call. A class that is not declared here keeps the rank
/// given by the sender.
///
/// # Errors
///
/// Fails if a field has an invalid value.
pub(super) fn decode_call(
    head: wire::CallHead,
    estate: Option<&Estate>,
    now: Instant,
) -> Result<CallHead, Error> {
    let (rank, class) = match estate.and_then(|estate| estate.class(&head.class)) {
        Some((rank, class)) => (rank, class.name.clone()),
        None => (ClassRank::new(head.rank as usize), head.class.parse()?),
    };
    let root = RootId::new(decode_id(&head.root)?);
    let depth = Depth::new(u8::try_from(head.depth).unwrap_or(u8::MAX));
    let once = match head.once_key.as_str() {
        "" => None,
        text => Some(OnceCall { key: text.parse()? }),
    };
    let fingerprint = match head.asked.len() {
        0 => None,
        _ => Some(Fingerprint {
            digest: decode_id(&head.asked)?,
            caller: head.asked_by,
        }),
    };
    let caller = match head.caller.as_str() {
        "" => None,
        text => Some(text.parse()?),
    };
    let method = Method::from_bytes(head.method.as_bytes())
        .map_err(|_| Error::value("method", head.method.clone()))?;
    let expires_ms = match head.expires_ms {
        0 => head.deadline_ms,
        ms => ms.min(head.deadline_ms),
    };
    Ok(CallHead {
        attempt: decode_attempt_id(&head.attempt)?,
        call: CallId::new(decode_id(&head.call)?),
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
        expires: now + Duration::from_millis(u64::from(expires_ms)),
        granted_retries: Retries::new(head.account),
        once,
        repeat: head.repeat,
        method,
        target: head.target.into(),
        headers: decode_headers(head.headers)?,
        fingerprint,
        notice: head.told.as_ref().map(decode_notice),
        may_wait: head.waits,
    })
}

/// Encodes the head of an answer, without its headers.
pub(super) fn encode_reply(
    attempt: AttemptId,
    head: &ReplyHead,
    body: Option<Bytes>,
) -> wire::AnswerHead {
    let digest = body.as_ref().map_or(0, |body| xxh3_64(body));
    wire::AnswerHead {
        attempt: encode_id(attempt.get()),
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
        told: head.guard_status.notice.as_ref().map(encode_notice),
        room_ms: encode_rate_delay(head.guard_status.rate_delay),
    }
}

/// Decodes the head of an answer, and returns it with the body.
///
/// # Errors
///
/// Fails if the digest does not match, or a field has an invalid value.
pub(super) fn decode_reply(head: wire::AnswerHead) -> Result<(ReplyHead, Bytes), Error> {
    if !head.streamed && xxh3_64(&head.body) != head.digest {
        return Err(Error::value("answer", "its digest does not match"));
    }
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .ok_or_else(|| Error::value("status", head.status.to_string()))?;
    let reply = ReplyHead {
        status,
        headers: decode_headers(head.headers)?,
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
            notice: head.told.as_ref().map(decode_notice),
            rate_delay: decode_rate_delay(head.room_ms),
        },
        made_calls: head.onward,
        from_store: head.kept,
    };
    Ok((reply, head.body))
}

pub(super) fn encode_refusal(attempt: AttemptId, refusal: &Refusal) -> wire::Refusal {
    let guard_status = refusal.guard_status.unwrap_or_default();
    let crash = refusal.crash.as_ref();
    wire::Refusal {
        attempt: encode_id(attempt.get()),
        verdict: refusal.verdict().to_string(),
        reason: refusal.reason().to_string(),
        detail: refusal.detail.to_string(),
        retry_after_ms: refusal.retry_after.map_or(0, millis),
        of_key: refusal.scope() == VerdictScope::Key,
        account: refusal.returned_retries.get(),
        level: u32::from(guard_status.demand.level.get()),
        below: u32::from(guard_status.demand.downstream.get()),
        classes: guard_status.demand.downstream_classes.bits(),
        load: guard_status.load,
        faults: u32::from(guard_status.fault_share.get()),
        leaving: guard_status.leaving,
        told: guard_status.notice.as_ref().map(encode_notice),
        room_ms: encode_rate_delay(guard_status.rate_delay),
        crash: crash.map_or(0, |report| report.crash.get()),
        suspects: crash.map_or(Vec::new(), |report| encode_suspects(&report.suspects)),
    }
}

/// Decodes a refusal sent by the other daemon, and relays it.
pub(super) fn decode_refusal(attempt: Attempt<Sent>, message: &wire::Refusal) -> Refusal {
    let parts = decode_attempt_id(&message.attempt).and_then(|attempt_id| {
        let verdict: Verdict = message.verdict.parse()?;
        let reason: Reason = message.reason.parse()?;
        Ok((attempt_id, verdict, reason))
    });
    let (attempt_id, verdict, reason) = match parts {
        Ok(parts) => parts,
        Err(e) => return attempt.abandon(Reason::InvalidAnswer, e.to_string()),
    };
    let mut refusal = attempt.relay_refusal(attempt_id, verdict, reason, &message.detail);
    if refusal.reason() == reason {
        if message.of_key {
            refusal = refusal.with_key_scope();
        }
        refusal.returned_retries = Retries::new(message.account);
        refusal.crash = (message.crash != 0).then(|| {
            Box::new(CrashReport {
                crash: CrashId::new(message.crash),
                suspects: decode_suspects(&message.suspects).into(),
            })
        });
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
            notice: message.told.as_ref().map(decode_notice),
            rate_delay: decode_rate_delay(message.room_ms),
        });
    }
    refusal
}
