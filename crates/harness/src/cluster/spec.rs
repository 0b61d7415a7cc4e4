//! Specification of a cluster to start.

use {
    conf::Item,
    types::{ModelId, ZoneId},
};

/// One availability zone of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterZone {
    /// Identifier.
    pub zone: ZoneId,
    /// Number of VMs, each with an entry and a steward.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of the engines that are cheap.
    pub cheap: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
}

/// A cluster: its zones, programs' arguments and settings, and initial configuration.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Availability zones.
    pub zones: Vec<ClusterZone>,
    /// Model that the engines serve.
    pub model: ModelId,
    /// Name of the plain service.
    pub service: ModelId,
    /// Items of the initial configuration.
    pub items: Vec<Item>,
    /// Further arguments of the engines.
    pub engine_args: Vec<String>,
    /// Further lines of the entries' settings, as YAML.
    pub entry_settings: String,
    /// Further lines of the stewards' settings, as YAML.
    pub steward_settings: String,
}
