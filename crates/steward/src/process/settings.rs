//! Settings of the steward daemon.

use {
    compact_str::CompactString,
    conf::Check,
    daemon::{ProcessSettings, Settings},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    types::{VmId, ZoneId},
};

fn default_exchange_ms() -> u64 {
    250
}

fn default_poll_ms() -> u64 {
    500
}

/// Settings of the steward daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardSettings {
    /// The part that every process has.
    pub process: ProcessSettings,
    /// This VM.
    pub vm: VmId,
    /// This VM's availability zone.
    pub zone: ZoneId,
    /// Where this VM's entry listens for the system's other processes.
    pub entry: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Shared secrets between the system's processes: the first is sent, all are accepted.
    pub secrets: Vec<CompactString>,
    /// Time between exchanges with the entry, in milliseconds.
    #[serde(default = "default_exchange_ms")]
    pub exchange_ms: u64,
    /// Time between looks at the platform's lists, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

impl StewardSettings {
    /// Time between exchanges with the entry.
    pub fn exchange(&self) -> Duration {
        Duration::from_millis(self.exchange_ms)
    }

    /// Time between looks at the platform's lists.
    pub fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }
}

impl Check for StewardSettings {
    fn check(&self) -> Result<(), CompactString> {
        self.process.check()?;
        if self.secrets.is_empty() || self.secrets.iter().any(|s| s.len() < 16) {
            return Err("secrets: accepted is one or more, each of 16 characters or more".into());
        }
        if !(50..=60_000).contains(&self.exchange_ms) || !(50..=60_000).contains(&self.poll_ms) {
            return Err("exchange_ms, poll_ms: accepted is 50 to 60000".into());
        }
        Ok(())
    }
}

impl Settings for StewardSettings {
    fn process(&self) -> &ProcessSettings {
        &self.process
    }
}
