//! The way of a call that must run at most once, by its key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::ask::Answered;
use super::backend::{AnswerBody, BackendError, read_whole};
use super::once::{Change, Done, Entered};
use super::{Guard, body_hash};
use crate::call::{Attempt, CallHead, OnceCall, Planned, Reason, Refusal, Reply, ReplyHead};
use crate::model::{Instance, OnceKey, Retries};
use crate::policy::once::{
    Claim, ClaimCheck, Nonce, OnceRefusal, StoredAnswer, check_claim, check_owner, claim_row_key,
};
use crate::store::{Condition, Settled, settle};
use crate::tables::{Held, mint_now};
use crate::web::Payload;

/// How long the outcome of a once call is waited for after its deadline.
const ONCE_WAIT: Duration = Duration::from_secs(30);
/// Largest answer to a once call, in bytes.
const MAX_ONCE_ANSWER: usize = 4 * 1024 * 1024;

impl Guard {
    pub(super) async fn serve_once(
        self: &Arc<Self>,
        attempt: Attempt<Planned>,
        head: CallHead,
        once: OnceCall,
        body: Bytes,
    ) -> Result<Reply, Refusal> {
        let account = head.account;
        let deadline = head.deadline;
        if let Err(refuse) = self.authority(&once.key) {
            return Err(self.home(attempt.refuse_once(refuse), account));
        }
        let hash = body_hash(&head, &body);
        let (mut end, started) = match self.once.enter(mint_now(), &once.key, hash) {
            Entered::Answer(kept) => return Ok(self.kept(kept, account, true)),
            Entered::Refuse(refuse) => {
                return Err(self.home(attempt.refuse_once(refuse), account));
            }
            Entered::Attach(end) => (end, false),
            Entered::Run { resumed, end } => {
                let run = Arc::clone(self).run_once(head, once, body, resumed);
                self.handle.spawn(run);
                (end, true)
            }
        };
        let attempt = attempt.send();
        let waited = tokio::time::timeout_at(deadline, end.wait_for(|done| done.is_some())).await;
        let done = match waited {
            Ok(Ok(done)) => done.clone(),
            _ => None,
        };
        let Some(done) = done else {
            let detail = "repeat with the same key to learn the outcome";
            return Err(attempt.lose(Reason::Timeout, detail));
        };
        let account = if started { done.account } else { account };
        match done.result {
            Ok(kept) => Ok(self.kept(kept, account, !started)),
            Err(refusal) => Err(self.home(refusal, account)),
        }
    }

    /// Tells what became of a once call, without starting anything.
    ///
    /// # Errors
    ///
    /// Returns what is known in place of an answer.
    pub async fn inquire(
        &self,
        attempt: Attempt<Planned>,
        key: &OnceKey,
        wait: Duration,
    ) -> Result<Reply, Refusal> {
        let none = Retries::new(0);
        let mut end = match self.once.inquire(key) {
            Entered::Answer(kept) => return Ok(self.kept(kept, none, true)),
            Entered::Refuse(refuse) => return Err(attempt.refuse_once(refuse)),
            Entered::Attach(end) | Entered::Run { end, .. } => end,
        };
        let attempt = attempt.send();
        let waited = tokio::time::timeout(wait, end.wait_for(|done| done.is_some())).await;
        match waited {
            Ok(Ok(done)) => match &*done {
                Some(done) => done.result.clone().map(|kept| self.kept(kept, none, true)),
                None => Err(attempt.lose(Reason::Timeout, "")),
            },
            _ => Err(attempt.lose(Reason::Timeout, "the call still runs")),
        }
    }

    fn kept(&self, kept: StoredAnswer, account: Retries, again: bool) -> Reply {
        let mut headers = HeaderMap::new();
        for (name, value) in &kept.headers {
            if let (Ok(name), Ok(value)) = (
                http::HeaderName::from_bytes(name.as_bytes()),
                http::HeaderValue::from_bytes(value),
            ) {
                headers.append(name, value);
            }
        }
        let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
        Reply {
            head: ReplyHead {
                status,
                headers,
                account,
                // Kept answers do not tell, and calls with a key are not judged.
                onward: false,
                news: self.news(),
                kept: again,
            },
            body: Payload::Whole(kept.body.unwrap_or_default()),
        }
    }

    fn authority(&self, key: &OnceKey) -> Result<(), OnceRefusal> {
        let home = self.shared.homes.get(self.service());
        let row = home.as_ref().map(|home| &*home.row);
        check_owner(key, self.shared.instance, row)
    }

    async fn run_once(self: Arc<Self>, head: CallHead, once: OnceCall, body: Bytes, resumed: bool) {
        let key = once.key;
        let attempt = Attempt::with_id(head.attempt);
        let account = head.account;
        let not_started = |refusal: Refusal| Done {
            result: Err(refusal),
            account,
        };
        if let OnceKey::Opaque(_) = key
            && let Err(lost) = self.claim(&key, resumed).await
        {
            let mut refusal = attempt.refuse_once(lost.refuse);
            if let Some(owner) = lost.owner {
                refusal.detail = owner.to_string().into();
            }
            return self.once.end(&key, lost.change, not_started(refusal));
        }
        let _leave = match self.leave_to_run(&head).await {
            Ok(leave) => leave,
            Err(barred) => {
                let done = not_started(barred.refuse(attempt).of_key());
                return self.once.end(&key, Change::Release, done);
            }
        };
        let mut pass = match self.enter(&head).await {
            Ok(pass) => pass,
            Err(shed) => {
                let done = not_started(attempt.refuse(Reason::Shed(shed), "").of_key());
                return self.once.end(&key, Change::Release, done);
            }
        };
        if let Err(barred) = self.check_held(&head) {
            let done = not_started(barred.refuse(attempt).of_key());
            return self.once.end(&key, Change::Release, done);
        }
        let held = self.shared.calls.hold(head.call, Held::new(&head));
        let attempt = attempt.send();
        let limit = head.deadline + ONCE_WAIT;
        let asked = tokio::time::timeout_at(limit, self.ask_whole(&head, body)).await;
        let (change, result) = match asked {
            Err(_) => (Change::Lose, Err(attempt.lose(Reason::Timeout, ""))),
            Ok(Err(error)) => {
                let change = match error {
                    BackendError::Connect(_)
                    | BackendError::Gone(_)
                    | BackendError::NotRun(_)
                    | BackendError::OtherServer(_) => Change::Release,
                    BackendError::Cut(_) | BackendError::Crashed(_) | BackendError::Garbage(_) => {
                        Change::Lose
                    }
                };
                (change, Err(self.failed(attempt, &error, &held)))
            }
            Ok(Ok(answered)) => {
                self.note_end(&mut pass, &held, answered.status);
                (Change::Finish, Ok(answered.into_kept()))
            }
        };
        let account = held.close();
        self.once.end(&key, change, Done { result, account });
    }

    /// Claims a key that carries no mint time in the table service.
    async fn claim(&self, key: &OnceKey, resumed: bool) -> Result<(), ClaimLost> {
        let own = self.shared.instance;
        let claim = Claim {
            owner: own,
            nonce: Nonce(rand::random()),
        };
        let content = serde_json::to_vec(&claim).unwrap_or_default().into();
        let name = claim_row_key(self.service(), key);
        let table = self.shared.platform.as_ref();
        let lost = |refuse, change, owner| {
            Err(ClaimLost {
                refuse,
                change,
                owner,
            })
        };
        let row = match settle(table, &name, Condition::Absent, content).await {
            Settled::Written(_) => return Ok(()),
            Settled::Lost(row) => row,
            Settled::NotSent(_) | Settled::Unsettled(_) => {
                return lost(OnceRefusal::NoPlatform, Change::Release, None);
            }
        };
        let found = row.and_then(|row| serde_json::from_slice(&row.content).ok());
        match found.map(|found| check_claim(found, own, claim.nonce)) {
            Some(ClaimCheck::Won) => Ok(()),
            Some(ClaimCheck::OwnEarlier) if resumed => Ok(()),
            Some(ClaimCheck::OwnEarlier) => lost(OnceRefusal::Forgotten, Change::Retract, None),
            Some(ClaimCheck::Other(owner)) => {
                lost(OnceRefusal::WrongOwner, Change::Retract, Some(owner))
            }
            None => lost(OnceRefusal::OutcomeLost, Change::Retract, None),
        }
    }

    /// Asks for an answer that is read whole, as the ledger needs it.
    async fn ask_whole(&self, head: &CallHead, body: Bytes) -> Result<Answered, BackendError> {
        let answered = self.ask(head, Payload::Whole(body)).await?;
        let AnswerBody::Large(first, rest) = answered.body else {
            return Ok(answered);
        };
        let whole = read_whole(first, rest, MAX_ONCE_ANSWER).await?;
        let whole = whole.ok_or_else(|| {
            BackendError::Garbage("the answer to a once call is larger than 4 MiB".into())
        })?;
        Ok(Answered {
            body: AnswerBody::Whole(whole),
            ..answered
        })
    }
}

/// A key that this instance could not claim.
struct ClaimLost {
    refuse: OnceRefusal,
    change: Change,
    owner: Option<Instance>,
}

impl Answered {
    fn into_kept(self) -> StoredAnswer {
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
