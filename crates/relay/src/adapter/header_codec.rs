//! Headers of callers and endpoints.

use {
    compact_str::CompactString,
    h1::{Headers, ResponseHead},
    route::Prompt,
    std::{error::Error, fmt, net::SocketAddr, time::Duration},
    types::{AttemptId, EndpointId, OrgId, Tier},
};

/// A caller's head that cannot be understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidHeader(
    /// The header field at fault.
    pub &'static str,
);

impl fmt::Display for InvalidHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "header field {} is missing or malformed", self.0)
    }
}

impl Error for InvalidHeader {}

/// What a caller's request head says.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerHeaders {
    /// The caller's id of this attempt.
    pub id: AttemptId,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Key of an organisation.
    pub key: Option<CompactString>,
    /// The prompt of a generation.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of an earlier, broken answer.
    pub last_event: Option<u64>,
}

/// What is told to an endpoint beside the caller's own header fields.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardHeaders<'a> {
    /// Endpoint that the request is meant for; any other refuses it.
    pub endpoint: &'a EndpointId,
    /// How long the caller will wait from now on.
    pub timeout: Option<Duration>,
    /// Organisation that the request runs for.
    pub org: Option<&'a OrgId>,
    /// Tier that decides the order inside an engine; none for plain services.
    pub tier: Option<Tier>,
    /// Event after which a stream goes on.
    pub last_event: Option<u64>,
    /// Engine from whose cache the endpoint is to fetch what it lacks of the prompt.
    pub kv_source: Option<SocketAddr>,
}

/// What an endpoint's response head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Attempt that the answer is for.
    pub id: Option<AttemptId>,
    /// The endpoint states that the request did not run and will not run.
    pub not_run: bool,
    /// The endpoint is another instance than the one the request was meant for.
    pub misdirected: bool,
}

/// Translates header fields.
pub trait HeaderCodec: Send + Sync {
    /// Reads a caller's header fields.
    fn parse_request(&self, headers: &Headers) -> Result<CallerHeaders, InvalidHeader>;

    /// Replaces the caller's header fields by those for an endpoint.
    fn rewrite_request(&self, headers: &mut Headers, forwarded: &ForwardHeaders<'_>);

    /// Reads an endpoint's response head.
    fn parse_response(&self, head: &ResponseHead) -> ResponseHeaders;
}
