//! Handling of calls that must run at most once per idempotency key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::backend::{AnswerBody, BackendError, read_whole};
use super::once_calls::{LedgerUpdate, OnceAction, RunOutcome};
use super::server_request::ServerAnswer;
use super::{Guard, body_hash};
use crate::call::{Attempt, CallHead, OnceCall, Planned, Reason, Refusal, Reply, ReplyHead};
use crate::model::{Instance, OnceKey, Retries};
use crate::policy::once::{
    Claim, ClaimCheck, Nonce, OnceRefusal, StoredAnswer, check_claim, check_owner, claim_row_key,
};
use crate::store::{Condition, WriteOutcome, write_with_retry};
use crate::tables::{ParentCall, mint_now};
use crate::web::Payload;

/// How long a run may exceed the call's deadline before its outcome counts as lost.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);
/// Maximum size of an answer to an at-most-once call.
const MAX_ONCE_ANSWER_BYTES: usize = 4 * 1024 * 1024;

impl Guard {
    pub(super) async fn serve_once(
        self: &Arc<Self>,
        attempt: Attempt<Planned>,
        head: CallHead,
        once: OnceCall,
        body: Bytes,
    ) -> Result<Reply, Refusal> {
        let account = head.granted_retries;
        let deadline = head.deadline;
        if let Err(reason) = self.check_owner(&once.key) {
            return Err(self.return_retries(attempt.refuse_once(reason), account));
        }
        let hash = body_hash(&head, &body);
        let (mut outcome, started) = match self.once.begin(mint_now(), &once.key, hash) {
            OnceAction::Answer(stored) => return Ok(self.stored_reply(stored, account, true)),
            OnceAction::Refuse(reason) => {
                return Err(self.return_retries(attempt.refuse_once(reason), account));
            }
            OnceAction::Attach(outcome) => (outcome, false),
            OnceAction::Run { resumed, outcome } => {
                let run = Arc::clone(self).run_once(head, once, body, resumed);
                self.handle.spawn(run);
                (outcome, true)
            }
        };
        let attempt = attempt.mark_sent();
        let waited =
            tokio::time::timeout_at(deadline, outcome.wait_for(|done| done.is_some())).await;
        let done = match waited {
            Ok(Ok(done)) => done.clone(),
            _ => None,
        };
        let Some(done) = done else {
            let detail = "repeat with the same key to learn the outcome";
            return Err(attempt.abandon(Reason::Timeout, detail));
        };
        let account = if started { done.account } else { account };
        match done.result {
            Ok(stored) => Ok(self.stored_reply(stored, account, !started)),
            Err(refusal) => Err(self.return_retries(refusal, account)),
        }
    }

    /// Returns the outcome of an at-most-once call without starting it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no answer to the key is stored.
    pub async fn inquire(
        &self,
        attempt: Attempt<Planned>,
        key: &OnceKey,
        wait: Duration,
    ) -> Result<Reply, Refusal> {
        let none = Retries::new(0);
        let mut outcome = match self.once.inquire(key) {
            OnceAction::Answer(stored) => return Ok(self.stored_reply(stored, none, true)),
            OnceAction::Refuse(reason) => return Err(attempt.refuse_once(reason)),
            OnceAction::Attach(outcome) | OnceAction::Run { outcome, .. } => outcome,
        };
        let attempt = attempt.mark_sent();
        let waited = tokio::time::timeout(wait, outcome.wait_for(|done| done.is_some())).await;
        match waited {
            Ok(Ok(done)) => match &*done {
                Some(done) => done
                    .result
                    .clone()
                    .map(|stored| self.stored_reply(stored, none, true)),
                None => Err(attempt.abandon(Reason::Timeout, "")),
            },
            _ => Err(attempt.abandon(Reason::Timeout, "the call is still running")),
        }
    }

    fn stored_reply(&self, stored: StoredAnswer, account: Retries, repeated: bool) -> Reply {
        let mut headers = HeaderMap::new();
        for (name, value) in &stored.headers {
            if let (Ok(name), Ok(value)) = (
                http::HeaderName::from_bytes(name.as_bytes()),
                http::HeaderValue::from_bytes(value),
            ) {
                headers.append(name, value);
            }
        }
        let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
        Reply {
            head: ReplyHead {
                status,
                headers,
                returned_retries: account,
                // Stored answers don't record this, and entries don't use it for
                // calls with a key.
                made_calls: false,
                guard_status: self.status(),
                from_store: repeated,
            },
            body: Payload::Whole(stored.body.unwrap_or_default()),
        }
    }

    fn check_owner(&self, key: &OnceKey) -> Result<(), OnceRefusal> {
        let ownership = self.shared.ownership.get(self.service());
        let row = ownership.as_ref().map(|ownership| &*ownership.row);
        check_owner(key, self.shared.instance, row)
    }

    async fn run_once(self: Arc<Self>, head: CallHead, once: OnceCall, body: Bytes, resumed: bool) {
        let key = once.key;
        let attempt = Attempt::with_id(head.attempt);
        let account = head.granted_retries;
        let not_started = |refusal: Refusal| RunOutcome {
            result: Err(refusal),
            account,
        };
        if let OnceKey::Opaque(_) = key
            && let Err(error) = self.claim(&key, resumed).await
        {
            let mut refusal = attempt.refuse_once(error.reason);
            if let Some(owner) = error.owner {
                refusal.detail = owner.to_string().into();
            }
            return self
                .once
                .finish_run(&key, error.update, not_started(refusal));
        }
        let _run_permit = match self.acquire_run_permit(&head).await {
            Ok(permit) => permit,
            Err(refused) => {
                let done = not_started(refused.refuse(attempt).with_key_scope());
                return self.once.finish_run(&key, LedgerUpdate::Release, done);
            }
        };
        let mut slot = match self.acquire_slot(&head).await {
            Ok(slot) => slot,
            Err(shed) => {
                let done = not_started(attempt.refuse(Reason::Shed(shed), "").with_key_scope());
                return self.once.finish_run(&key, LedgerUpdate::Release, done);
            }
        };
        if let Err(refused) = self.check_not_quarantined(&head) {
            let done = not_started(refused.refuse(attempt).with_key_scope());
            return self.once.finish_run(&key, LedgerUpdate::Release, done);
        }
        let held = self
            .shared
            .parent_calls
            .register(head.call, ParentCall::new(&head));
        let attempt = attempt.mark_sent();
        let limit = head.deadline + OUTCOME_GRACE;
        let sent = tokio::time::timeout_at(limit, self.request_whole(&head, body)).await;
        let (update, result) = match sent {
            Err(_) => (
                LedgerUpdate::Lose,
                Err(attempt.abandon(Reason::Timeout, "")),
            ),
            Ok(Err(error)) => {
                let update = match error {
                    BackendError::Connect(_)
                    | BackendError::NoListener(_)
                    | BackendError::NotRun(_)
                    | BackendError::OtherServer(_) => LedgerUpdate::Release,
                    BackendError::ConnectionLost(_)
                    | BackendError::Crashed(_)
                    | BackendError::InvalidAnswer(_) => LedgerUpdate::Lose,
                };
                let refusal = self.refuse_failed(attempt, &error, head.fingerprint, &held);
                (update, Err(refusal))
            }
            Ok(Ok(answer)) => {
                self.record_end(&mut slot, &held, answer.status);
                (LedgerUpdate::Finish, Ok(answer.into_stored()))
            }
        };
        let account = held.close();
        self.once
            .finish_run(&key, update, RunOutcome { result, account });
    }

    /// Claims a key without a mint time in the platform's table service.
    async fn claim(&self, key: &OnceKey, resumed: bool) -> Result<(), ClaimError> {
        let own = self.shared.instance;
        let claim = Claim {
            owner: own,
            nonce: Nonce(rand::random()),
        };
        let content = serde_json::to_vec(&claim).unwrap_or_default().into();
        let name = claim_row_key(self.service(), key);
        let table = self.shared.platform.as_ref();
        let fail = |reason, update, owner| {
            Err(ClaimError {
                reason,
                update,
                owner,
            })
        };
        let row = match write_with_retry(table, &name, Condition::Absent, content).await {
            WriteOutcome::Written(_) => return Ok(()),
            WriteOutcome::Conflict(row) => row,
            WriteOutcome::NotSent(_) | WriteOutcome::Unknown(_) => {
                return fail(OnceRefusal::NoPlatform, LedgerUpdate::Release, None);
            }
        };
        let found = row.and_then(|row| serde_json::from_slice(&row.content).ok());
        match found.map(|found| check_claim(found, own, claim.nonce)) {
            Some(ClaimCheck::Won) => Ok(()),
            Some(ClaimCheck::OwnEarlier) if resumed => Ok(()),
            Some(ClaimCheck::OwnEarlier) => {
                fail(OnceRefusal::Forgotten, LedgerUpdate::Retract, None)
            }
            Some(ClaimCheck::Other(owner)) => {
                fail(OnceRefusal::WrongOwner, LedgerUpdate::Retract, Some(owner))
            }
            None => fail(OnceRefusal::OutcomeLost, LedgerUpdate::Retract, None),
        }
    }

    /// Sends the call and reads the complete answer, which the ledger stores.
    async fn request_whole(
        &self,
        head: &CallHead,
        body: Bytes,
    ) -> Result<ServerAnswer, BackendError> {
        let answer = self.request(head, Payload::Whole(body)).await?;
        let AnswerBody::Large(first, rest) = answer.body else {
            return Ok(answer);
        };
        let whole = read_whole(first, rest, MAX_ONCE_ANSWER_BYTES).await?;
        let whole = whole.ok_or_else(|| {
            BackendError::InvalidAnswer(
                "the answer to an at-most-once call is larger than 4 MiB".into(),
            )
        })?;
        Ok(ServerAnswer {
            body: AnswerBody::Whole(whole),
            ..answer
        })
    }
}

/// Failure to claim a key for this instance.
struct ClaimError {
    reason: OnceRefusal,
    update: LedgerUpdate,
    owner: Option<Instance>,
}

impl ServerAnswer {
    fn into_stored(self) -> StoredAnswer {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                (name.as_str().into(), value)
            })
            .collect();
        let body = match self.body {
            AnswerBody::Whole(bytes) => Some(bytes),
            AnswerBody::Large(..) => None,
        };
        StoredAnswer {
            status: self.status.as_u16(),
            headers,
            body,
        }
    }
}
