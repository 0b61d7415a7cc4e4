//! Parameters of pool sizing.

use std::time::Duration;

/// Parameters by which endpoints are started and released.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingRules {
    /// Utilisation of the slots above which endpoints are started.
    pub high_watermark: f64,
    /// Utilisation of the slots that must not be exceeded after a release; below `high_watermark`.
    pub low_watermark: f64,
    /// How long there must be a surplus before endpoints are released.
    pub release_delay: Duration,
    /// Minimum time between two changes, except for replacements of lost endpoints.
    pub cooldown: Duration,
    /// Maximum number of endpoints started or released at once.
    pub max_step: u32,
    /// Time after which a started endpoint that is still not listed counts as lost.
    pub start_timeout: Duration,
    /// Time before cheap endpoints are ordered again after the platform had none.
    pub cheap_backoff: Duration,
    /// Price of a cheap endpoint relative to a steady one.
    pub cheap_price: f64,
    /// Maximum total cost of the zone's endpoints, in prices of steady ones.
    pub budget: f64,
}
