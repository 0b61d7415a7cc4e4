//! The clock trait.

use {
    super::Instant,
    std::{future::Future, pin::Pin, sync::Arc, time::Duration},
};

/// A timer future, which resolves when its time has passed.
pub type Sleep = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A clock shared between tasks.
pub type SharedClock = Arc<dyn Clock>;

/// A source of time and timers.
pub trait Clock: Send + Sync {
    /// The time since boot, including suspended time. Monotonic.
    fn now(&self) -> Instant;

    /// Wall-clock time since the Unix epoch. Only for display and for the times of records, never
    /// for deadlines, since it can be set back.
    fn unix_time(&self) -> Duration;

    /// Returns a timer that resolves after `span`.
    fn sleep(&self, span: Duration) -> Sleep;
}
