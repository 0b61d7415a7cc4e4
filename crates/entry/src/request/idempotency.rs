//! Non-idempotent requests that carry an idempotency key. Each is executed at most once across all
//! entries, and repeats get the stored response.

use {
    super::{context::RequestContext, plain::PlainRequest},
    async_channel::bounded,
    compact_str::CompactString,
    http_types::{Mime, Request, Response, StatusCode},
    once::{ClaimKey, ClaimResult, ClaimState, Claimer, StoredResponse},
    std::{str::FromStr, sync::Arc, time::Duration},
    types::{Reason, Refusal, Verdict},
};

const KEY_HEADER: &str = "idempotency-key";
/// Marks a stored response that is returned to a repeated request.
const REPLAY_HEADER: &str = "idempotent-replayed";
/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Largest response body that is stored for repeats, in bytes.
const MAX_STORED_BYTES: usize = 16 * 1024;
/// Suggested retry delay while the first request with the key is still running.
const PENDING_RETRY: Duration = Duration::from_secs(1);
/// Suggested retry delay while the claim log is unavailable.
const LOG_UNAVAILABLE_RETRY: Duration = Duration::from_secs(5);

/// Reads and checks the idempotency key of a request.
pub(super) fn idempotency_key(request: &Request) -> Result<Option<CompactString>, Refusal> {
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

/// Runs a request under its idempotency key, in a task of its own: it continues if the caller hangs
/// up, so that a repeat finds the response.
pub(super) async fn run_with_key(
    ctx: RequestContext,
    plain: PlainRequest,
    key: CompactString,
) -> Result<Response, Refusal> {
    let Some(claimer) = ctx.app.claimer.clone() else {
        let message = "this entry cannot claim idempotency keys: no platform is set";
        return Err(Refusal::not_run(Reason::Unavailable, message));
    };
    let (sender, receiver) = bounded(1);
    let ex = ctx.app.ex.clone();
    ex.spawn(async move {
        let result = claim_and_run(ctx, plain, &key, &claimer).await;
        let _ = sender.try_send(result);
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
    mut ctx: RequestContext,
    plain: PlainRequest,
    key: &str,
    claimer: &Arc<Claimer>,
) -> Result<Response, Refusal> {
    let key = ClaimKey::new(&ctx.caller.org, key);
    match claimer.claim(key, plain.fingerprint(), ctx.id).await {
        Ok(ClaimResult::Granted) => {}
        Ok(ClaimResult::Taken(state)) => return repeat_response(state),
        Err(e) => {
            let refusal = Refusal::not_run(Reason::Unavailable, e.to_string());
            return Err(refusal.with_retry_after(LOG_UNAVAILABLE_RETRY));
        }
    }
    let guard = ClaimGuard {
        claimer,
        key,
        unresolved: true,
    };
    match ctx.run_plain(&plain).await {
        Ok(mut response) => {
            let stored = storable_response(&mut response).await;
            guard.complete(&ctx, stored);
            Ok(response)
        }
        Err(refusal) => {
            let refusal = ctx.with_attempt_verdict(refusal);
            match refusal.verdict {
                Verdict::NotRun => guard.release(&ctx),
                Verdict::MayHaveRun | Verdict::Ran => {}
            }
            Err(refusal)
        }
    }
}

/// A claim whose request is running. If it is dropped without an outcome, the key stays claimed:
/// the request may have been executed.
struct ClaimGuard<'a> {
    claimer: &'a Arc<Claimer>,
    key: ClaimKey,
    unresolved: bool,
}

impl ClaimGuard<'_> {
    fn complete(mut self, ctx: &RequestContext, response: Option<StoredResponse>) {
        self.unresolved = false;
        self.claimer.complete(self.key, ctx.id, response);
    }

    fn release(mut self, ctx: &RequestContext) {
        self.unresolved = false;
        self.claimer.release(self.key, ctx.id);
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if self.unresolved {
            self.claimer.abandon();
        }
    }
}

/// The response for a request whose key another request has claimed.
fn repeat_response(state: ClaimState) -> Result<Response, Refusal> {
    match state {
        ClaimState::Completed(_, Some(stored)) => Ok(replay_response(stored)),
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
            Err(refusal.with_retry_after(PENDING_RETRY))
        }
        ClaimState::Mismatch => {
            let message = "the key was used for another request";
            Err(Refusal::not_run(Reason::Conflict, message))
        }
    }
}

fn replay_response(stored: StoredResponse) -> Response {
    metrics::counter!("celerystage_replays_total").increment(1);
    let status = StatusCode::try_from(stored.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(stored.body.as_str());
    if let Ok(mime) = Mime::from_str(&stored.content_type) {
        response.set_content_type(mime);
    }
    response.insert_header(REPLAY_HEADER, "true");
    response
}

/// The part of a response that is stored for repeats; `None` if the body is too large or not UTF-8.
async fn storable_response(response: &mut Response) -> Option<StoredResponse> {
    let content_type = response
        .content_type()
        .map(|m| m.to_string())
        .unwrap_or_default();
    let bytes = response.take_body().into_bytes().await.ok()?;
    response.set_body(bytes.clone());
    if let Ok(mime) = Mime::from_str(&content_type) {
        response.set_content_type(mime);
    }
    if bytes.len() > MAX_STORED_BYTES {
        return None;
    }
    let body = String::from_utf8(bytes).ok()?;
    Some(StoredResponse {
        status: response.status().into(),
        content_type: content_type.into(),
        body: body.into(),
    })
}
