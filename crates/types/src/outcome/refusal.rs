//! Refusals: why a request was not served, and what the caller is told.

use {
    super::Verdict,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, time::Duration},
};

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed, or asks for something that is not supported.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller sent the request too slowly.
    TooSlow,
    /// The request carries no key or an unknown one.
    NoKey,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The key may not be used for this class, model or route.
    Forbidden,
    /// No such model, route or class.
    NotFound,
    /// The organisation exceeds one of its limits.
    OverLimit,
    /// The queue is full, or the deadline cannot be met.
    Overloaded,
    /// No endpoint can take the request.
    Unavailable,
    /// Requests like this one have crashed the endpoints that ran them.
    Quarantined,
    /// The endpoint failed, or its response was cut off.
    EndpointFailed,
    /// The endpoint did not answer in time.
    EndpointTimeout,
    /// Another request uses the idempotency key, or used it with a different body.
    Conflict,
    /// The process is stopping.
    Stopping,
}

impl Reason {
    /// HTTP status code for the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NoKey | Self::KeyWithdrawn => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::TooSlow => 408,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::OverLimit => 429,
            Self::Overloaded | Self::Unavailable | Self::Quarantined | Self::Stopping => 503,
            Self::EndpointFailed => 502,
            Self::EndpointTimeout => 504,
        }
    }

    /// Error type as clients of the OpenAI-style API expect it.
    pub fn error_type(self) -> &'static str {
        match self {
            Self::BadRequest | Self::TooLarge | Self::TooSlow | Self::Conflict => {
                "invalid_request_error"
            }
            Self::NoKey | Self::KeyWithdrawn => "authentication_error",
            Self::Forbidden => "permission_error",
            Self::NotFound => "not_found_error",
            Self::OverLimit => "rate_limit_error",
            Self::Overloaded | Self::Unavailable | Self::Quarantined | Self::Stopping => {
                "overloaded_error"
            }
            Self::EndpointFailed | Self::EndpointTimeout => "api_error",
        }
    }

    /// Name of the reason in response bodies, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
            Self::NoKey => "no_key",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::OverLimit => "over_limit",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::Quarantined => "quarantined",
            Self::EndpointFailed => "endpoint_failed",
            Self::EndpointTimeout => "endpoint_timeout",
            Self::Conflict => "conflict",
            Self::Stopping => "stopping",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final error response to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run at an endpoint.
    pub verdict: Verdict,
    /// Explanation for the caller, in one sentence.
    pub message: CompactString,
    /// Suggested retry delay, if a retry may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no endpoint has received.
    pub fn not_run(reason: Reason, message: impl Into<CompactString>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A refusal with a given verdict, for a request that was sent to an endpoint.
    pub fn with_verdict(
        verdict: Verdict,
        reason: Reason,
        message: impl Into<CompactString>,
    ) -> Self {
        Self {
            reason,
            verdict,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the suggested retry delay.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {})", self.message, self.reason, self.verdict)
    }
}

impl Error for Refusal {}
