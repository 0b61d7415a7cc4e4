//! Input and output of service sizing.

use {std::time::Duration, types::ZoneId};

/// Bounds of the engines of one service in each zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScalingBounds {
    /// Minimum number of engines.
    pub min: u32,
    /// Maximum number of engines.
    pub max: u32,
    /// Whether cheap engines may be ordered.
    pub cheap: bool,
}

/// Engines of one zone that take requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCounts {
    /// Zone.
    pub zone: ZoneId,
    /// Steady engines, which are not reclaimed.
    pub steady: u32,
    /// Cheap engines, which the platform may reclaim at short notice.
    pub cheap: u32,
    /// Whether operators have evacuated the zone, so that its engines take no requests.
    pub evacuated: bool,
}

/// Current state of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceView {
    /// Bounds.
    pub bounds: ScalingBounds,
    /// Engines by zone.
    pub zones: Vec<EngineCounts>,
    /// Offered prefill load of the fleet, as the number of engines it would fully occupy.
    pub offered_load: f64,
    /// Slot demand as the number of engines whose slots it would fully occupy; zero where slots aren't scarce.
    pub slot_load: f64,
    /// Mean age of the loads that VMs place by, minus that in a small fleet.
    pub gossip_delay: Duration,
}

/// Desired number of engines of one kind in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Zone.
    pub zone: ZoneId,
    /// Whether the order is for cheap engines.
    pub cheap: bool,
    /// Desired number.
    pub count: u32,
}
