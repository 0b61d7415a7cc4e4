//! What a cluster consists of.

use {
    conf::Item,
    types::{ModelId, ZoneId},
};

/// One availability zone.
#[derive(Debug, Clone)]
pub struct ClusterZone {
    /// Identifier.
    pub zone: ZoneId,
    /// VMs, each with an entry and a steward.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// How many of the engines are cheap.
    pub cheap: usize,
    /// Replicas of the plain service.
    pub services: usize,
}

/// A whole system.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Availability zones.
    pub zones: Vec<ClusterZone>,
    /// Model that the engines serve.
    pub model: ModelId,
    /// Name of the plain service.
    pub service: ModelId,
    /// Initial configuration.
    pub items: Vec<Item>,
    /// Further arguments of the engines.
    pub engine_args: Vec<String>,
    /// Further lines of the entries' settings, as YAML.
    pub entry_settings: String,
    /// Further lines of the stewards' settings, as YAML.
    pub steward_settings: String,
}
