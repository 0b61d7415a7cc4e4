//! Settings of leases and of endpoint orders.

use {
    compact_str::CompactString, conf::Validate, coord::LeaseTiming, fleet::ScalingRules,
    serde::Deserialize, std::time::Duration,
};

/// Durations of the lease protocol. They must be the same in all stewards.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Time after which a lease that is not renewed expires, in milliseconds.
    pub term_ms: u64,
    /// How long before expiry the holder stops acting, in milliseconds.
    pub early_ms: u64,
    /// Longest time that an order or report is in flight, in milliseconds.
    pub flight_ms: u64,
    /// Range of the random delay that spreads claims, in milliseconds.
    pub spread_ms: u64,
    /// Largest difference between the rates of two VMs' clocks, as a fraction.
    pub drift: f64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term_ms: 6_000,
            early_ms: 500,
            flight_ms: 2_500,
            spread_ms: 400,
            drift: 0.02,
        }
    }
}

impl LeaseSettings {
    /// Returns the durations for the lease protocol.
    pub fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            term: Duration::from_millis(self.term_ms),
            early: Duration::from_millis(self.early_ms),
            flight: Duration::from_millis(self.flight_ms),
            spread: Duration::from_millis(self.spread_ms),
            drift: self.drift,
        }
    }
}

impl Validate for LeaseSettings {
    fn validate(&self) -> Result<(), CompactString> {
        if !(1_000..=600_000).contains(&self.term_ms) || self.early_ms * 2 > self.term_ms {
            return Err("leases.term_ms: accepted is 1000 to 600000; early_ms: up to half".into());
        }
        if !(500..=60_000).contains(&self.flight_ms) || self.spread_ms > 10_000 {
            return Err("leases.flight_ms: accepted is 500 to 60000; spread_ms: to 10000".into());
        }
        if !(0.0..=0.1).contains(&self.drift) {
            return Err("leases.drift: accepted is 0 to 0.1".into());
        }
        Ok(())
    }
}

/// Rules for ordering endpoints.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Interval between two scaling decisions, in milliseconds.
    pub round_ms: u64,
    /// Fraction of slots in use above which endpoints are started.
    pub high: f64,
    /// Largest fraction of slots that may be in use after a release of endpoints; below `high`.
    pub low: f64,
    /// How long demand must stay low before a release, in milliseconds.
    pub hold_ms: u64,
    /// Shortest time between two changes of a pool, replacements excepted, in milliseconds.
    pub cooldown_ms: u64,
    /// Largest number of endpoints started or released at once.
    pub step: u32,
    /// Time after which a started endpoint that is still not listed counts as lost, in
    /// milliseconds.
    pub start_ms: u64,
    /// Pause of orders for cheap endpoints after the platform had none, in milliseconds.
    pub pause_ms: u64,
    /// Price of a cheap endpoint; a steady one costs 1.
    pub price: f64,
    /// Largest total price of the zone's endpoints.
    pub budget: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            round_ms: 500,
            high: 0.8,
            low: 0.5,
            hold_ms: 120_000,
            cooldown_ms: 15_000,
            step: 2,
            start_ms: 300_000,
            pause_ms: 60_000,
            price: 0.4,
            budget: 1_000.0,
        }
    }
}

impl FleetSettings {
    /// Returns the rules for the planner.
    pub fn rules(&self) -> ScalingRules {
        ScalingRules {
            high_watermark: self.high,
            low_watermark: self.low,
            release_delay: Duration::from_millis(self.hold_ms),
            cooldown: Duration::from_millis(self.cooldown_ms),
            max_step: self.step,
            start_timeout: Duration::from_millis(self.start_ms),
            cheap_backoff: Duration::from_millis(self.pause_ms),
            cheap_price: self.price,
            budget: self.budget,
        }
    }

    /// Returns the interval between two scaling decisions.
    pub fn round(&self) -> Duration {
        Duration::from_millis(self.round_ms)
    }
}

impl Validate for FleetSettings {
    fn validate(&self) -> Result<(), CompactString> {
        if !(0.0 < self.low && self.low < self.high && self.high <= 1.0) {
            return Err("fleet.low, fleet.high: accepted is 0 < low < high <= 1".into());
        }
        if !(50..=60_000).contains(&self.round_ms) || self.step == 0 {
            return Err("fleet.round_ms: accepted is 50 to 60000; step: 1 or more".into());
        }
        if !(0.0..=1.0).contains(&self.price) || self.budget.is_nan() || self.budget < 0.0 {
            return Err("fleet.price: accepted is 0 to 1; budget: 0 or more".into());
        }
        Ok(())
    }
}
