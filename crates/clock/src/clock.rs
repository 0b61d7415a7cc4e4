//! The clock interface.

use {
    super::Instant,
    std::{future::Future, pin::Pin, sync::Arc, time::Duration},
};

/// A timer that resolves when its time has come.
pub type Sleep = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A clock that tasks share.
pub type SharedClock = Arc<dyn Clock>;

/// Source of time and timers.
pub trait Clock: Send + Sync {
    /// Time since boot, suspended time included.
    fn now(&self) -> Instant;

    /// Time since the Unix epoch. For display and record times only, never for deadlines.
    fn unix_time(&self) -> Duration;

    /// Resolves after `span`.
    fn sleep(&self, span: Duration) -> Sleep;
}
