//! Failures of a call to the platform.

use {
    std::{error::Error, fmt},
    types::Verdict,
};

/// A failed call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// The call did not reach the platform, or its answer was lost.
    Unreachable(Verdict),
    /// The platform refused the call with this HTTP status; it had no effect.
    Refused(u16),
    /// The answer could not be understood.
    InvalidResponse,
}

impl PlatformError {
    /// Whether the call may have taken effect.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable(verdict) => verdict,
            Self::Refused(_) => Verdict::NotRun,
            Self::InvalidResponse => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(verdict) => write!(f, "platform unreachable ({verdict})"),
            Self::Refused(status) => write!(f, "platform refused the call with status {status}"),
            Self::InvalidResponse => write!(f, "platform's answer not understood"),
        }
    }
}

impl Error for PlatformError {}
