//! Read-only view of a lease, for code that acts under it.

use types::Epoch;

/// A lease as the code that acts under it sees it.
pub trait LeaseHandle: Send + Sync {
    /// Returns the fencing token while the lease is held, checked against the clock at each call;
    /// `None` when it is not held or is about to expire.
    fn epoch(&self) -> Option<Epoch>;
}
