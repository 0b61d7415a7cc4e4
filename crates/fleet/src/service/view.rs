//! What sizing looks at, and what it decides.

use {std::time::Duration, types::ZoneId};

/// Bounds of the engines of one service in each zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScalingBounds {
    /// Fewest engines.
    pub min: u32,
    /// Most engines.
    pub max: u32,
    /// Whether cheap engines may be ordered.
    pub cheap: bool,
}

/// Engines of one zone that take work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCounts {
    /// Zone.
    pub zone: ZoneId,
    /// Engines that stay.
    pub steady: u32,
    /// Engines that may be reclaimed.
    pub cheap: u32,
}

/// What is known of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceView {
    /// Bounds.
    pub bounds: ScalingBounds,
    /// Engines by zone.
    pub zones: Vec<EngineCounts>,
    /// Work of the fleet, in engines that it would fill completely.
    pub offered_load: f64,
    /// Time between two rounds of news among VMs, beyond the shortest.
    pub gossip_delay: Duration,
}

/// A number of engines wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Zone.
    pub zone: ZoneId,
    /// Whether the engines may be reclaimed.
    pub cheap: bool,
    /// How many.
    pub count: u32,
}
