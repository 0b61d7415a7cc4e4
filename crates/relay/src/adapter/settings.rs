//! Settings of one VM.

use {
    std::{net::SocketAddr, time::Duration},
    types::{Bytes, VmId, ZoneId},
};

/// Bounds within which the fleet has to act.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time between the signal to stop and the kill.
    pub stop_grace: Duration,
    /// Time for a configuration to be in force.
    pub config_apply: Duration,
    /// Time after which a leaving endpoint may get no more requests.
    pub endpoint_drain: Duration,
    /// Repeats of requests for each request, over all VMs.
    pub retry_ratio: f64,
    /// Span over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats allowed beyond the ratio, over all VMs.
    pub retry_extra: f64,
    /// Time without news after which a duty passes to another VM.
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
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where other VMs ask for the configuration and endpoints that this VM knows.
    pub control: SocketAddr,
    /// Where other VMs send their load.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Control addresses of some VMs; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Processor time that the VM has, in thousandths of a core.
    pub millicores: u32,
    /// Descriptors that the process may use.
    pub max_fds: u32,
    /// Memory that the process may use.
    pub memory: Bytes,
    /// Bounds.
    pub bounds: Bounds,
    /// Whether usage has to be reported.
    pub reports_usage: bool,
    /// Whether endpoints may be ordered.
    pub orders_capacity: bool,
}
