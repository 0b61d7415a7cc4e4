//! Settings of usage windows.

use {compact_str::CompactString, conf::Validate, serde::Deserialize, std::time::Duration};

/// Settings of usage windows, a section of the steward's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UsageSettings {
    /// Length of a window, in milliseconds. Must be the same on all VMs.
    pub window_ms: u64,
    /// Delay from the end of a window until it is sealed, in milliseconds.
    pub grace_ms: u64,
    /// Interval between two collections of the entries' counts, in milliseconds.
    pub pull_ms: u64,
}

impl Default for UsageSettings {
    fn default() -> Self {
        Self {
            window_ms: 60_000,
            grace_ms: 2_000,
            pull_ms: 250,
        }
    }
}

impl UsageSettings {
    /// Returns the length of a window.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    /// Returns the delay from the end of a window until it is sealed.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    /// Returns the interval between two collections.
    pub fn pull(&self) -> Duration {
        Duration::from_millis(self.pull_ms)
    }
}

impl Validate for UsageSettings {
    fn validate(&self) -> Result<(), CompactString> {
        if !(200..=3_600_000).contains(&self.window_ms) {
            return Err("usage.window_ms: accepted is 200 to 3600000".into());
        }
        if self.grace_ms > 600_000 {
            return Err("usage.grace_ms: accepted is 0 to 600000".into());
        }
        if !(50..=60_000).contains(&self.pull_ms) {
            return Err("usage.pull_ms: accepted is 50 to 60000".into());
        }
        Ok(())
    }
}
