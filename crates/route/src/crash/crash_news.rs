//! What VMs tell each other of crashes.

use {
    super::{EndpointStart, Suspect},
    serde::{Deserialize, Serialize},
};

/// The crash of an endpoint, and what may have caused it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint.
    pub start: EndpointStart,
    /// Age of the crash, in milliseconds.
    pub age_ms: u64,
    /// The suspects of each request that it had just begun to answer.
    pub requests: Vec<Vec<Suspect>>,
}

/// A suspect that an endpoint ran without harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundNotice {
    /// The suspect.
    pub suspect: Suspect,
    /// Age of the response, in milliseconds.
    pub age_ms: u64,
}

/// Suspects that requests are refused for which have all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The suspects, in order.
    pub suspects: Vec<Suspect>,
    /// Age of the last crash that it caused, in milliseconds.
    pub age_ms: u64,
}

/// What one VM tells others of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// What requests are refused for.
    pub quarantines: Vec<QuarantineNotice>,
    /// Suspects that proved sound after others had reported them.
    pub sound: Vec<SoundNotice>,
    /// Crashes without a known cause.
    pub reports: Vec<CrashReport>,
}

impl CrashNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.quarantines.is_empty() && self.sound.is_empty() && self.reports.is_empty()
    }
}
