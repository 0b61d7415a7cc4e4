//! Settings of the entry daemon.

use {
    crate::sched::{PolicySettings, SharingMode},
    compact_str::CompactString,
    conf::Validate,
    daemon::{ProcessSettings, Settings},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    types::{Bytes, VmId, ZoneId},
};

fn default_body() -> Bytes {
    Bytes(8 * 1024 * 1024)
}

fn default_honour_s() -> u64 {
    12 * 3600
}

fn default_claim_s() -> u64 {
    24 * 3600
}

fn default_gossip_ms() -> u64 {
    1000
}

fn default_slo_ms() -> u64 {
    60_000
}

fn default_drain_ms() -> u64 {
    1000
}

/// Settings of the entry daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings common to all processes.
    pub process: ProcessSettings,
    /// Id of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for celerystage's other processes.
    pub mesh: SocketAddr,
    /// Entries to exchange with until the VM list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secrets shared by celerystage's processes: the first is sent, all are accepted.
    pub secrets: Vec<CompactString>,
    /// Address of the platform's service, whose log holds claims of idempotency keys. Without it,
    /// non-idempotent requests that carry an idempotency key are refused.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// How long a stored response is returned to repeats of its request, in seconds.
    #[serde(default = "default_claim_s")]
    pub claim_s: u64,
    /// How long keys are honoured while no reachable VM reads the platform's log, in seconds. A
    /// zone that is cut off cannot learn of withdrawals.
    #[serde(default = "default_honour_s")]
    pub honour_s: u64,
    /// Largest accepted request body, in bytes.
    #[serde(default = "default_body")]
    pub body: Bytes,
    /// Interval between exchanges with a peer, in milliseconds.
    #[serde(default = "default_gossip_ms")]
    pub gossip_ms: u64,
    /// Time between reporting not ready and closing the listener, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// How the entries of an availability zone share its endpoints.
    #[serde(default)]
    pub sharing: SharingMode,
    /// Base unit of the windows over which burn rates are computed, in milliseconds.
    #[serde(default = "default_slo_ms")]
    pub slo_ms: u64,
    /// Scheduling policies.
    #[serde(default)]
    pub policy: PolicySettings,
}

impl EntrySettings {
    /// Interval between exchanges with a peer.
    pub fn gossip_interval(&self) -> Duration {
        Duration::from_millis(self.gossip_ms)
    }

    /// How long keys are honoured while no reachable VM reads the platform's log.
    pub fn honour_time(&self) -> Duration {
        Duration::from_secs(self.honour_s)
    }

    /// How long a stored response is returned to repeats of its request.
    pub fn claim_retention(&self) -> Duration {
        Duration::from_secs(self.claim_s)
    }

    /// Time between reporting not ready and closing the listener.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl Validate for EntrySettings {
    fn validate(&self) -> Result<(), CompactString> {
        self.process.validate()?;
        if self.secrets.is_empty() || self.secrets.iter().any(|s| s.len() < 16) {
            return Err("secrets: must be one or more, each of at least 16 characters".into());
        }
        if !(50..=60_000).contains(&self.gossip_ms) {
            return Err("gossip_ms: must be from 50 to 60000".into());
        }
        if self.honour_s < 5 {
            return Err("honour_s: must be at least 5".into());
        }
        if !(60..=7 * 24 * 3600).contains(&self.claim_s) {
            return Err("claim_s: must be from 60 to 604800".into());
        }
        if !(10..=3_600_000).contains(&self.slo_ms) {
            return Err("slo_ms: must be from 10 to 3600000".into());
        }
        if self.drain_ms > 600_000 {
            return Err("drain_ms: must be from 0 to 600000".into());
        }
        Ok(())
    }
}

impl Settings for EntrySettings {
    fn process(&self) -> &ProcessSettings {
        &self.process
    }
}
