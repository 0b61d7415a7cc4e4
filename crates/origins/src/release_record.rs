//! What the platform keeps of the releases of a service.

use {
    super::ReleaseAssignment,
    rmp_serde::{decode, encode},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, fmt, time::Duration},
    types::{Era, Release, Version},
};

/// Name in log lines of a release that isn't known.
const UNKNOWN: &str = "unknown";

/// The releases at which streams of a service may have begun that can still be resumed. VMs restore them after a restart of the
/// whole fleet. A record is written as soon as a release is listed, usually well before [`crate::SETTLE_TIME`] has passed and
/// streams begin there; nothing waits for the write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// The releases; `None` stands for endpoints whose release isn't known.
    pub releases: BTreeSet<Option<Release>>,
    /// Milliseconds for which streams of the service could be resumed when it was written.
    pub window_ms: u64,
    /// Era of the store that it was written in. A later one may have lost the records after it.
    pub era: Era,
    /// The assignment of new streams to them, if all VMs enforce it. Earlier releases of the router neither read nor write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub assignment: Option<ReleaseAssignment>,
    /// The weights of routes that distribute streams over this service and others; `None` without such routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<WeightRecord>,
}

/// The weights of the routes that distribute streams over a service and others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightRecord {
    /// Digest of the weights.
    pub digest: u64,
    /// The configuration version that introduced them.
    pub version: Version,
    /// Whether they have been in force for the whole resume window.
    pub settled: bool,
}

impl ReleaseRecord {
    /// A record of the releases that count in a window.
    pub fn new(releases: BTreeSet<Option<Release>>, window: Duration, era: Era) -> Self {
        Self {
            releases,
            window_ms: u64::try_from(window.as_millis()).unwrap_or(u64::MAX),
            era,
            assignment: None,
            weights: None,
        }
    }

    /// The window that it covers.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    /// Encodes the record as a map, so that fields of later formats are skipped.
    pub fn encode(&self) -> Result<Vec<u8>, encode::Error> {
        rmp_serde::to_vec_named(self)
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}

impl fmt::Display for ReleaseRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.releases.iter();
        let names: Vec<_> = names
            .map(|r| r.as_ref().map_or(UNKNOWN, |r| r.as_str()))
            .collect();
        f.write_str(&names.join(" "))?;
        match &self.assignment {
            Some(assignment) => write!(f, ", assigned {assignment}"),
            None => Ok(()),
        }
    }
}
