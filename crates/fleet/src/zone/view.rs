//! What sizing looks at, and what it decides.

use {std::time::Duration, types::ZoneId};

/// Bounds of the engines of one service in each zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeBounds {
    /// Fewest engines.
    pub min: u32,
    /// Most engines.
    pub max: u32,
    /// Whether cheap engines may be ordered.
    pub cheap: bool,
}

/// Engines of one zone that take work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolCount {
    /// Zone.
    pub zone: ZoneId,
    /// Engines that stay.
    pub steady: u32,
    /// Engines that may be reclaimed.
    pub cheap: u32,
}

/// What is known of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct SizeView {
    /// Bounds.
    pub bounds: SizeBounds,
    /// Engines by zone.
    pub zones: Vec<PoolCount>,
    /// Work of the fleet, in engines that it would fill completely.
    pub work: f64,
    /// Time between two rounds of news among VMs, beyond the shortest.
    pub news_every: Duration,
}

/// A number of engines wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SizeOrder {
    /// Zone.
    pub zone: ZoneId,
    /// Whether the engines may be reclaimed.
    pub cheap: bool,
    /// How many.
    pub count: u32,
}
