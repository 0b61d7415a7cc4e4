//! Settings of the entry daemon.

use {
    crate::sched::{PolicySettings, Sharing},
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
    /// The part that every process has.
    pub process: ProcessSettings,
    /// This VM.
    pub vm: VmId,
    /// This VM's availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the system's other processes.
    pub mesh: SocketAddr,
    /// Entries to exchange with until the VM list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Shared secrets between the system's processes: the first is sent, all are accepted.
    pub secrets: Vec<CompactString>,
    /// The platform's service, for claims of requests that may not be repeated. Without it, such
    /// requests are refused when they carry an idempotency key.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Time for which an answer is given again to a repeated request, in seconds.
    #[serde(default = "default_claim_s")]
    pub claim_s: u64,
    /// Time for which keys are honoured while no VM that can be reached reads the platform's log, in
    /// seconds. A zone that is cut off cannot learn of withdrawals.
    #[serde(default = "default_honour_s")]
    pub honour_s: u64,
    /// Largest accepted request body, in bytes.
    #[serde(default = "default_body")]
    pub body: Bytes,
    /// Time between exchanges with a peer, in milliseconds.
    #[serde(default = "default_gossip_ms")]
    pub gossip_ms: u64,
    /// Time between the report of unreadiness and the end of listening, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// How the entries of an availability zone share its endpoints.
    #[serde(default)]
    pub sharing: Sharing,
    /// Unit of the spans that burn rates are taken over, in milliseconds.
    #[serde(default = "default_slo_ms")]
    pub slo_ms: u64,
    /// Scheduling policies.
    #[serde(default)]
    pub policy: PolicySettings,
}

impl EntrySettings {
    /// Time between exchanges with a peer.
    pub fn gossip(&self) -> Duration {
        Duration::from_millis(self.gossip_ms)
    }

    /// Time for which keys are honoured without word from the platform.
    pub fn honour(&self) -> Duration {
        Duration::from_secs(self.honour_s)
    }

    /// Time for which an answer is given again to a repeated request.
    pub fn claim(&self) -> Duration {
        Duration::from_secs(self.claim_s)
    }

    /// Time between the report of unreadiness and the end of listening.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl Validate for EntrySettings {
    fn validate(&self) -> Result<(), CompactString> {
        self.process.validate()?;
        if self.secrets.is_empty() || self.secrets.iter().any(|s| s.len() < 16) {
            return Err("secrets: accepted is one or more, each of 16 characters or more".into());
        }
        if !(50..=60_000).contains(&self.gossip_ms) {
            return Err("gossip_ms: accepted is 50 to 60000".into());
        }
        if self.honour_s < 5 {
            return Err("honour_s: accepted is 5 or more".into());
        }
        if !(60..=7 * 24 * 3600).contains(&self.claim_s) {
            return Err("claim_s: accepted is 60 to 604800".into());
        }
        if !(10..=3_600_000).contains(&self.slo_ms) {
            return Err("slo_ms: accepted is 10 to 3600000".into());
        }
        if self.drain_ms > 600_000 {
            return Err("drain_ms: accepted is 0 to 600000".into());
        }
        Ok(())
    }
}

impl Settings for EntrySettings {
    fn process(&self) -> &ProcessSettings {
        &self.process
    }
}
