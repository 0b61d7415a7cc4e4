//! Settings of the steward daemon.

use {
    super::{FleetSettings, LeaseSettings},
    compact_str::CompactString,
    conf::Validate,
    daemon::{ProcessSettings, Settings},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    types::{VmId, ZoneId},
    usage::UsageSettings,
};

fn default_exchange_ms() -> u64 {
    250
}

fn default_poll_ms() -> u64 {
    500
}

fn default_snapshot_ms() -> u64 {
    300_000
}

/// Settings of the steward daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardSettings {
    /// Settings that all processes have.
    pub process: ProcessSettings,
    /// This VM.
    pub vm: VmId,
    /// This VM's availability zone.
    pub zone: ZoneId,
    /// Address at which this VM's entry listens for the other processes of the system.
    pub entry: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Secrets shared by the system's processes: the first is sent, all are accepted.
    pub secrets: Vec<CompactString>,
    /// Interval between exchanges with the entry, in milliseconds.
    #[serde(default = "default_exchange_ms")]
    pub exchange_ms: u64,
    /// Interval between polls of the platform's lists, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Durations of the lease protocol.
    #[serde(default)]
    pub leases: LeaseSettings,
    /// Rules for ordering endpoints.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// Usage windows.
    #[serde(default)]
    pub usage: UsageSettings,
    /// Longest time between two snapshots of the configuration, in milliseconds.
    #[serde(default = "default_snapshot_ms")]
    pub snapshot_ms: u64,
}

impl StewardSettings {
    /// Returns the interval between exchanges with the entry.
    pub fn exchange(&self) -> Duration {
        Duration::from_millis(self.exchange_ms)
    }

    /// Returns the longest time between two snapshots of the configuration.
    pub fn snapshot(&self) -> Duration {
        Duration::from_millis(self.snapshot_ms)
    }

    /// Returns the interval between polls of the platform's lists.
    pub fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }
}

impl Validate for StewardSettings {
    fn validate(&self) -> Result<(), CompactString> {
        self.process.validate()?;
        self.leases.validate()?;
        self.fleet.validate()?;
        self.usage.validate()?;
        if self.secrets.is_empty() || self.secrets.iter().any(|s| s.len() < 16) {
            return Err("secrets: accepted is one or more, each of 16 characters or more".into());
        }
        if !(50..=60_000).contains(&self.exchange_ms) || !(50..=60_000).contains(&self.poll_ms) {
            return Err("exchange_ms, poll_ms: accepted is 50 to 60000".into());
        }
        if !(1_000..=86_400_000).contains(&self.snapshot_ms) {
            return Err("snapshot_ms: accepted is 1000 to 86400000".into());
        }
        Ok(())
    }
}

impl Settings for StewardSettings {
    fn process(&self) -> &ProcessSettings {
        &self.process
    }
}
