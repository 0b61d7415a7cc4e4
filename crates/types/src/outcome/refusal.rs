//! A final negative answer and what it tells the caller.

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
    /// The request is malformed or asks for something that is not accepted.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller sent the request too slowly.
    TooSlow,
    /// No key, or a key that is unknown.
    NoKey,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The key's organisation may not use this class, model or route.
    Forbidden,
    /// No such model, route or class.
    NotFound,
    /// The organisation is over one of its limits.
    OverLimit,
    /// The queue is full or the deadline cannot be met.
    Overloaded,
    /// No endpoint can take the request.
    Unavailable,
    /// The endpoint failed or was cut off.
    EndpointFailed,
    /// The endpoint did not answer in time.
    EndpointTimeout,
    /// The same idempotency key is in use by another request, or was used with another body.
    Conflict,
    /// The process is stopping.
    Stopping,
}

impl Reason {
    /// HTTP status that the reason is answered with.
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
            Self::Overloaded | Self::Unavailable | Self::Stopping => 503,
            Self::EndpointFailed => 502,
            Self::EndpointTimeout => 504,
        }
    }

    /// Error type in the shape that clients of this API expect.
    pub fn error_type(self) -> &'static str {
        match self {
            Self::BadRequest | Self::TooLarge | Self::TooSlow | Self::Conflict => {
                "invalid_request_error"
            }
            Self::NoKey | Self::KeyWithdrawn => "authentication_error",
            Self::Forbidden => "permission_error",
            Self::NotFound => "not_found_error",
            Self::OverLimit => "rate_limit_error",
            Self::Overloaded | Self::Unavailable | Self::Stopping => "overloaded_error",
            Self::EndpointFailed | Self::EndpointTimeout => "api_error",
        }
    }

    /// The reason as a word, for metrics and logs.
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

/// A final negative answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// One sentence for the caller.
    pub message: CompactString,
    /// When the caller may try again, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no endpoint has seen.
    pub fn not_run(reason: Reason, message: impl Into<CompactString>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A refusal with the verdict of the attempts made.
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

    /// Adds the time after which the caller may try again.
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
