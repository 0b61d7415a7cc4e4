//! Helpers for requests and responses.

use {
    http_types::{Request, Response},
    serde::de::DeserializeOwned,
    wire::json_response,
};

/// A response with a status and the body `{}`.
pub(crate) fn empty_response(status: u16) -> Response {
    json_response(status, &serde_json::json!({}))
}

/// Reads and parses a request's JSON body; `None` if either fails.
pub(crate) async fn parse_body<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    let bytes = request.body_bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// The first value of a header.
pub(crate) fn header_value(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|v| v.as_str().to_owned())
}
