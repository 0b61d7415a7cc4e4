//! JSON responses, and the responses for refused requests.

use {
    http_types::{Mime, Response, StatusCode, headers::RETRY_AFTER},
    serde::Serialize,
    std::{str::FromStr, time::Duration},
    types::Refusal,
};

/// Header that carries the verdict of a refused request.
pub const VERDICT_HEADER: &str = "x-celerystage-verdict";

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
    message: &'a str,
    verdict: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// Creates a JSON response.
pub fn json_response(status: u16, body: &impl Serialize) -> Response {
    let code = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(code);
    response.set_body(serde_json::to_vec(body).unwrap_or_default());
    if let Ok(mime) = Mime::from_str("application/json") {
        response.set_content_type(mime);
    }
    response
}

/// Creates the response for `refusal`, with an error body of the structure that API clients expect.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let retry_after_s = refusal.retry_after.map(whole_seconds);
    let detail = ErrorDetail {
        kind: refusal.reason.error_type(),
        code: refusal.reason.as_str(),
        message: &refusal.message,
        verdict: refusal.verdict.as_str(),
        retry_after_s,
    };
    let mut response = json_response(refusal.reason.status(), &ErrorBody { error: detail });
    response.insert_header(VERDICT_HEADER, refusal.verdict.as_str());
    if let Some(seconds) = retry_after_s {
        response.insert_header(RETRY_AFTER, seconds.to_string());
    }
    response
}

/// Rounds up to whole seconds, at least one, since the `Retry-After` header has no finer unit.
fn whole_seconds(wait: Duration) -> u64 {
    let extra = u64::from(wait.subsec_nanos() > 0);
    (wait.as_secs() + extra).max(1)
}
