//! Durations of the duty lease.

use std::time::Duration;

/// Durations of the duty lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyTiming {
    /// Time without a new record after which other VMs may claim.
    pub lease: Duration,
    /// Time after sending a record during which the holder acts. Shorter than `lease` by the
    /// longest time that one of its calls may still be in flight.
    pub hold: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// Length of a usage window.
    pub window: Duration,
}
