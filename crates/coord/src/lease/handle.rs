//! Whether this process is in charge of something.

use types::Epoch;

/// A lease as its users see it.
pub trait LeaseHandle: Send + Sync {
    /// Fencing number while the lease is held, checked against the clock at each call; `None` when it
    /// is not held or is about to lapse.
    fn epoch(&self) -> Option<Epoch>;
}
