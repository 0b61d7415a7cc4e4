//! Whether a request may have run at an endpoint.

use {
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt, str::FromStr},
};

/// What is known of a request's execution. The order is the order of knowledge that is kept when
/// verdicts are combined: `NotRun < MayHaveRun < Ran`.
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
    /// Verdict of a request after one more attempt, or one more hop, with verdict `next`.
    #[must_use]
    pub fn combine(self, next: Self) -> Self {
        self.max(next)
    }

    /// Whether another attempt keeps the promise that a request which may not be repeated runs at
    /// most once.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }

    /// The verdict as it stands in headers and bodies.
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

/// A text that names no verdict.
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
