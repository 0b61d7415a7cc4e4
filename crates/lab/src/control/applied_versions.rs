//! Measures from the entries' logs how long configuration changes take to come into force.

use {harness::ChildProcess, serde::Deserialize, std::time::Duration};

/// Message that an entry logs when a configuration version comes into force.
const APPLIED_MESSAGE: &str = "configuration in force";

#[derive(Deserialize)]
struct LogLine {
    ts: f64,
    msg: String,
    version: Option<u64>,
}

/// Configuration versions that came into force at one entry, each with its Unix time in seconds.
pub(super) struct AppliedVersions(Vec<(u64, f64)>);

impl AppliedVersions {
    pub(super) fn from_log(entry: &ChildProcess) -> Self {
        let lines = entry.lines();
        let parsed = lines
            .iter()
            .filter(|l| l.contains(APPLIED_MESSAGE))
            .filter_map(|l| serde_json::from_str::<LogLine>(l).ok());
        let applied = parsed.filter(|l| l.msg == APPLIED_MESSAGE);
        Self(applied.filter_map(|l| Some((l.version?, l.ts))).collect())
    }

    /// Newest version that came into force.
    pub(super) fn newest(&self) -> u64 {
        self.0.iter().map(|(v, _)| *v).max().unwrap_or_default()
    }

    /// Unix time at which this version, or a newer one, came into force.
    fn applied_at(&self, version: u64) -> Option<f64> {
        self.0
            .iter()
            .find(|(v, _)| *v >= version)
            .map(|(_, ts)| *ts)
    }
}

/// Time from each change until it was in force at the last entry, accurate to a millisecond, the
/// resolution of log timestamps. Changes that are not in force at every entry are left out.
pub(super) fn propagation_delays(
    entries: &[AppliedVersions],
    changes: &[(u64, Duration)],
) -> Vec<Duration> {
    let delay = |&(version, sent): &(u64, Duration)| {
        let times: Option<Vec<f64>> = entries.iter().map(|e| e.applied_at(version)).collect();
        let last = times?.into_iter().fold(0.0, f64::max);
        Some(Duration::from_secs_f64(
            (last - sent.as_secs_f64()).max(0.0),
        ))
    };
    changes.iter().filter_map(delay).collect()
}
