//! Whether a request may have run at an endpoint.

use {
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, str::FromStr},
};

/// Whether a request has run at an endpoint, as far as is known. Combining verdicts keeps the
/// larger one in the order `NotRun < MayHaveRun < Ran`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint received any byte of the request.
    #[default]
    NotRun,
    /// An endpoint may have received the request; its effect is unknown.
    MayHaveRun,
    /// An endpoint answered the request.
    Ran,
}

impl Verdict {
    /// The verdict over this and another attempt or hop, the larger of both.
    #[must_use]
    pub fn combine(self, next: Self) -> Self {
        self.max(next)
    }

    /// Whether another attempt is safe: a non-idempotent request must not run more than once.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }

    /// Name of the verdict in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a text that is not the name of a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseVerdictError;

impl fmt::Display for ParseVerdictError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected not_run, may_have_run or ran")
    }
}

impl Error for ParseVerdictError {}

impl FromStr for Verdict {
    type Err = ParseVerdictError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran]
            .into_iter()
            .find(|v| v.as_str() == text)
            .ok_or(ParseVerdictError)
    }
}
