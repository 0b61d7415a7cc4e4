//! Rules of sizing.

use std::time::Duration;

/// Rules by which endpoints are started and released.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingRules {
    /// Share of slots in use above which endpoints are started.
    pub high_watermark: f64,
    /// Share of slots that must stay free of use before an endpoint is released; below `high`.
    pub low_watermark: f64,
    /// How long demand must stay low before a release.
    pub release_delay: Duration,
    /// Time between two changes, but for replacements.
    pub cooldown: Duration,
    /// Most endpoints started or released at once.
    pub max_step: u32,
    /// Time until a started endpoint that is not listed counts as lost.
    pub start_timeout: Duration,
    /// Pause in cheap orders after the platform had no cheap endpoint.
    pub cheap_backoff: Duration,
    /// Price of a cheap endpoint, where a steady one costs 1.
    pub cheap_price: f64,
    /// Most that the zone's endpoints may cost together.
    pub budget: f64,
}
