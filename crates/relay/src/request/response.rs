//! A buffered response to a caller.

use {
    h1::{Headers, ResponseHead},
    std::time::Duration,
    types::{Reason, Refusal, Verdict},
};

/// A response that is sent as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    /// Head without the header fields for framing.
    pub(crate) head: ResponseHead,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// The refusal, if the response is the router's own.
    pub(crate) refusal: Option<Refusal>,
}

impl Response {
    /// An endpoint's response.
    pub(crate) fn forwarded(mut head: ResponseHead, body: Vec<u8>) -> Self {
        head.headers.strip_hop_by_hop();
        Self {
            head,
            body,
            refusal: None,
        }
    }

    /// The response for a refusal. A status that implies that the request did not run is used only
    /// if that is so.
    pub(crate) fn refusal(refusal: Refusal) -> Self {
        let mut status = refusal.reason.status();
        if refusal.verdict != Verdict::NotRun && implies_not_run(status) {
            status = Reason::EndpointFailed.status();
        }
        let mut head = ResponseHead::new(status);
        if let Some(wait) = refusal.retry_after {
            head.headers.push("Retry-After", seconds(wait));
        }
        head.headers.push("Content-Type", "text/plain");
        let body = format!("{refusal}\n").into_bytes();
        Self {
            head,
            body,
            refusal: Some(refusal),
        }
    }

    /// The encoded response.
    pub(crate) fn bytes(&self, closes: bool, is_head: bool) -> Vec<u8> {
        let mut head = self.head.clone();
        head.headers
            .push("Content-Length", self.body.len().to_string());
        add_connection_header(&mut head.headers, closes);
        let mut out = Vec::with_capacity(512 + self.body.len());
        head.write(&mut out);
        if !is_head {
            out.extend_from_slice(&self.body);
        }
        out
    }
}

/// Adds the `Connection` header field if the connection is closed after the response.
pub(crate) fn add_connection_header(headers: &mut Headers, closes: bool) {
    if closes {
        headers.push("Connection", "close");
    }
}

/// Whether a status implies that the request did not run.
pub(crate) fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn seconds(span: Duration) -> String {
    format!("{:.3}", span.as_secs_f64())
}
