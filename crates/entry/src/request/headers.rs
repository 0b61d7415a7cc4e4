//! Forwarding of HTTP headers between callers and endpoints.

use {
    http_types::{
        Request, Response,
        headers::{CONNECTION, Headers},
    },
    types::{OrgId, RequestId},
};

/// Carries the request's id to the endpoint and back to the caller.
pub(super) const ID_HEADER: &str = "x-request-id";
const ORG_HEADER: &str = "x-celerystage-org";
/// Headers that are not forwarded: those that concern a single connection or message, and the
/// caller's key.
const NOT_FORWARDED: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Prefix of headers that only celerystage sets; they are not forwarded either.
const INTERNAL_PREFIX: &str = "x-celerystage-";

/// Copies the forwarded headers of a caller's request to an endpoint's request, and adds the
/// request's id and organisation.
pub(super) fn copy_to_endpoint(from: &Request, to: &mut Request, id: RequestId, org: &OrgId) {
    let options = connection_options(from.as_ref());
    for (name, values) in from.iter() {
        let name = name.as_str();
        if is_forwarded(name, &options) && name != ID_HEADER {
            for value in values.iter() {
                to.append_header(name, value.as_str());
            }
        }
    }
    to.insert_header(ID_HEADER, id.to_string());
    to.insert_header(ORG_HEADER, org.as_str());
}

/// Copies the forwarded headers of an endpoint's response to the caller's response.
pub(super) fn copy_to_caller(from: &Response, to: &mut Response) {
    let options = connection_options(from.as_ref());
    for (name, values) in from.iter() {
        let name = name.as_str();
        if is_forwarded(name, &options) {
            for value in values.iter() {
                to.append_header(name, value.as_str());
            }
        }
    }
}

fn is_forwarded(name: &str, options: &[String]) -> bool {
    !NOT_FORWARDED.contains(&name)
        && !name.starts_with(INTERNAL_PREFIX)
        && !options.iter().any(|n| n == name)
}

fn connection_options(headers: &Headers) -> Vec<String> {
    let values = headers.get(CONNECTION).into_iter().flat_map(|v| v.iter());
    values
        .flat_map(|v| v.as_str().split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
