//! Errors of calls to the platform.

use {
    std::{error::Error, fmt},
    types::Verdict,
};

/// A failed call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// The connection failed, the call timed out, or the platform reported an internal error. The
    /// verdict tells whether the call may have taken effect.
    Unreachable(Verdict),
    /// The call was refused with this HTTP status and had no effect.
    Refused(u16),
    /// The response could not be read or decoded; the call may have taken effect.
    InvalidResponse,
}

impl PlatformError {
    /// The verdict on whether the call may have taken effect.
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
            Self::InvalidResponse => write!(f, "invalid response from the platform"),
        }
    }
}

impl Error for PlatformError {}
