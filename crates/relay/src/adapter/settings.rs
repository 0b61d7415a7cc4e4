//! Settings of one VM.

use {
    std::{net::SocketAddr, time::Duration},
    types::{Bytes, VmId, ZoneId},
};

/// Time and retry bounds that the platform sets for the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlatformBounds {
    /// Time between the stop signal and the kill.
    pub stop_grace: Duration,
    /// Time within which a published configuration must be in force.
    pub config_apply: Duration,
    /// Time after which a leaving endpoint may receive no more requests.
    pub endpoint_drain: Duration,
    /// Retries allowed for each request, over all VMs.
    pub retry_ratio: f64,
    /// Time over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed within the window in addition to the ratio, over all VMs.
    pub retry_reserve: f64,
    /// Time without a renewal after which another VM may take over the duties.
    pub lease: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after a window's end at which its report is due.
    pub report_due: Duration,
}

/// Settings of one VM.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address where other VMs request the configuration and endpoints that this VM knows.
    pub control: SocketAddr,
    /// Address for the gossip datagrams of other VMs.
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Control addresses of some VMs, which may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// CPU share of the VM, in thousandths of a core.
    pub millicores: u32,
    /// File descriptors that the process may use.
    pub max_fds: u32,
    /// Memory that the process may use.
    pub memory: Bytes,
    /// Time and retry bounds of the fleet.
    pub bounds: PlatformBounds,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Whether usage reporting is one of the duties.
    pub reports_usage: bool,
    /// Whether ordering endpoints is one of the duties.
    pub orders_capacity: bool,
}

impl NodeSettings {
    /// Whether the other VMs know this one from their settings.
    pub(crate) fn is_seed(&self) -> bool {
        self.seeds.is_empty() || self.seeds.contains(&self.control)
    }
}
