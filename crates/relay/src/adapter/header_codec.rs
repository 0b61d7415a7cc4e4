//! Header fields of callers and endpoints.

use {
    compact_str::CompactString,
    h1::{Headers, RequestHead, ResponseHead},
    route::{Notice, Prompt},
    std::{error::Error, fmt, net::SocketAddr, time::Duration},
    types::{AttemptId, EndpointId, OrgId, Urgency},
};

/// A required header field of a caller that is missing, or one that cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidHeader(
    /// Name of the header field.
    pub &'static str,
);

impl fmt::Display for InvalidHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "header field {} is missing or malformed", self.0)
    }
}

impl Error for InvalidHeader {}

/// The parsed header fields of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerHeaders {
    /// Identifier that the caller gave this attempt.
    pub id: AttemptId,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key of an organisation.
    pub key: Option<CompactString>,
    /// The prompt, if the request is for generation.
    pub prompt: Option<Prompt>,
    /// Last event that the caller received of an earlier stream that broke.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that the caller takes up again.
    pub resumes: Option<AttemptId>,
}

impl CallerHeaders {
    /// The attempt that brought or will bring the first event of the stream.
    pub(crate) fn first_attempt(&self) -> &AttemptId {
        let earlier = self.resumes.as_ref().filter(|_| self.last_event.is_some());
        earlier.unwrap_or(&self.id)
    }
}

/// Header fields that the router sets on a request to an endpoint, beside the caller's own.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardHeaders<'a> {
    /// Endpoint that the request is meant for; any other refuses it.
    pub endpoint: &'a EndpointId,
    /// How long the caller still waits.
    pub timeout: Option<Duration>,
    /// Organisation that the request is accounted to.
    pub org: Option<&'a OrgId>,
    /// Urgency in the engine's own queue; none for services that do not generate.
    pub urgency: Option<Urgency>,
    /// Event after which a stream resumes.
    pub last_event: Option<u64>,
    /// Engine whose KV cache holds prompt parts that the endpoint lacks and fetches from there.
    pub kv_source: Option<SocketAddr>,
}

/// The parsed header fields of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHeaders {
    /// Attempt that the response belongs to.
    pub id: Option<AttemptId>,
    /// The endpoint states that the request did not run and will not run.
    pub not_run: bool,
    /// The endpoint is a different instance than the one the request was meant for.
    pub misdirected: bool,
    /// What the endpoint says of itself.
    pub notice: Notice,
}

/// Parses and writes the platform's header fields, and asks endpoints for their start time.
pub trait HeaderCodec: Send + Sync {
    /// Parses a caller's header fields.
    fn parse_request(&self, headers: &Headers) -> Result<CallerHeaders, InvalidHeader>;

    /// Rewrites a caller's header fields to those for an endpoint.
    fn rewrite_request(&self, headers: &mut Headers, forwarded: &ForwardHeaders<'_>);

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, head: &ResponseHead) -> ResponseHeaders;

    /// The request, without a body, that asks the endpoint at `addr` for its start time. It takes no
    /// slot.
    fn start_query(&self, addr: SocketAddr) -> RequestHead;

    /// The start time, in milliseconds since the Unix epoch, in the body of the answer; `None` if it
    /// names none.
    fn parse_start(&self, body: &[u8]) -> Option<u64>;
}
