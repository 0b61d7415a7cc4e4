//! Small answers.

use {
    http_types::{Request, Response},
    serde::de::DeserializeOwned,
    wire::json_response,
};

/// `{}` with a status.
pub(crate) fn empty(status: u16) -> Response {
    json_response(status, &serde_json::json!({}))
}

/// Parses a request's JSON body.
pub(crate) async fn body<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    let bytes = request.body_bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// A header's first value.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|v| v.as_str().to_owned())
}
