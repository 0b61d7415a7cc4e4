//! Requests that may not be repeated and carry an idempotency key: executed at most once over all
//! entries, and answered alike however often they are sent.

use {
    super::{plain::Plain, work::Work},
    async_channel::bounded,
    compact_str::CompactString,
    http_types::{Mime, Request, Response, StatusCode},
    once::{ClaimKey, ClaimResult, ClaimState, Claimer, StoredResponse},
    std::{str::FromStr, sync::Arc, time::Duration},
    types::{Reason, Refusal, Verdict},
};

const KEY_HEADER: &str = "idempotency-key";
/// Marks an answer that was given before.
const REPLAY_HEADER: &str = "idempotent-replayed";
/// Longest accepted key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Largest answer that is kept to be given again, in bytes.
const MAX_KEPT_BYTES: usize = 16 * 1024;
/// When a caller may ask again for the answer of a request that still runs.
const RETRY_RUNNING: Duration = Duration::from_secs(1);
/// When a caller may try again while claims cannot be made.
const RETRY_AWAY: Duration = Duration::from_secs(5);

/// The idempotency key of a request.
pub(super) fn sent_key(request: &Request) -> Result<Option<CompactString>, Refusal> {
    let Some(values) = request.header(KEY_HEADER) else {
        return Ok(None);
    };
    let key = values.as_str();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("{KEY_HEADER}: accepted is 1 to {MAX_KEY_BYTES} characters");
        return Err(Refusal::not_run(Reason::BadRequest, message));
    }
    Ok(Some(key.into()))
}

/// Runs a request under its key. It goes on when the caller hangs up, so that a repeated request finds
/// the answer.
pub(super) async fn run_keyed(
    work: Work,
    plain: Plain,
    key: CompactString,
) -> Result<Response, Refusal> {
    let Some(claimer) = work.app.claimer.clone() else {
        let message = "this entry cannot claim idempotency keys: no platform is set";
        return Err(Refusal::not_run(Reason::Unavailable, message));
    };
    let (sender, receiver) = bounded(1);
    let ex = work.app.ex.clone();
    ex.spawn(async move {
        let answered = claim_and_run(work, plain, &key, &claimer).await;
        let _ = sender.try_send(answered);
    })
    .detach();
    let lost = || {
        Refusal::with_verdict(
            Verdict::MayHaveRun,
            Reason::EndpointFailed,
            "the request failed",
        )
    };
    receiver.recv().await.map_err(|_| lost())?
}

async fn claim_and_run(
    mut work: Work,
    plain: Plain,
    key: &str,
    claimer: &Arc<Claimer>,
) -> Result<Response, Refusal> {
    let key = ClaimKey::new(&work.caller.org, key);
    match claimer.claim(key, plain.fingerprint(), work.id).await {
        Ok(ClaimResult::Granted) => {}
        Ok(ClaimResult::Taken(found)) => return taken(found),
        Err(e) => {
            let refusal = Refusal::not_run(Reason::Unavailable, e.to_string());
            return Err(refusal.with_retry_after(RETRY_AWAY));
        }
    }
    let claim = Claim {
        claimer,
        key,
        open: true,
    };
    match work.run_plain(&plain).await {
        Ok(mut response) => {
            let answer = kept_answer(&mut response).await;
            claim.done(&work, answer);
            Ok(response)
        }
        Err(refusal) => {
            let refusal = work.refusal(refusal);
            match refusal.verdict {
                Verdict::NotRun => claim.free(&work),
                Verdict::MayHaveRun | Verdict::Ran => {}
            }
            Err(refusal)
        }
    }
}

/// A claim whose request runs. Dropped without an outcome, the key stays claimed.
struct Claim<'a> {
    claimer: &'a Arc<Claimer>,
    key: ClaimKey,
    open: bool,
}

impl Claim<'_> {
    fn done(mut self, work: &Work, answer: Option<StoredResponse>) {
        self.open = false;
        self.claimer.complete(self.key, work.id, answer);
    }

    fn free(mut self, work: &Work) {
        self.open = false;
        self.claimer.release(self.key, work.id);
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if self.open {
            self.claimer.abandon();
        }
    }
}

/// The answer of a request whose key another request has.
fn taken(found: ClaimState) -> Result<Response, Refusal> {
    match found {
        ClaimState::Completed(_, Some(answer)) => Ok(replay(answer)),
        ClaimState::Completed(_, None) => {
            let message = "the request was answered before; the answer was too large to keep";
            Err(Refusal::with_verdict(
                Verdict::Ran,
                Reason::Conflict,
                message,
            ))
        }
        ClaimState::Pending(_) | ClaimState::Unclaimed => {
            let message = "a request with this key runs, or may have run";
            let refusal = Refusal::with_verdict(Verdict::MayHaveRun, Reason::Conflict, message);
            Err(refusal.with_retry_after(RETRY_RUNNING))
        }
        ClaimState::Mismatch => {
            let message = "the key was used for another request";
            Err(Refusal::not_run(Reason::Conflict, message))
        }
    }
}

fn replay(answer: StoredResponse) -> Response {
    metrics::counter!("celerystage_replays_total").increment(1);
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body.as_str());
    if let Ok(mime) = Mime::from_str(&answer.content_type) {
        response.set_content_type(mime);
    }
    response.insert_header(REPLAY_HEADER, "true");
    response
}

/// What is kept of a response: nothing if it is large or not text.
async fn kept_answer(response: &mut Response) -> Option<StoredResponse> {
    let kind = response
        .content_type()
        .map(|m| m.to_string())
        .unwrap_or_default();
    let bytes = response.take_body().into_bytes().await.ok()?;
    response.set_body(bytes.clone());
    if let Ok(mime) = Mime::from_str(&kind) {
        response.set_content_type(mime);
    }
    if bytes.len() > MAX_KEPT_BYTES {
        return None;
    }
    let body = String::from_utf8(bytes).ok()?;
    Some(StoredResponse {
        status: response.status().into(),
        content_type: kind.into(),
        body: body.into(),
    })
}
