//! Limit of the memory for buffered bodies.

use {
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    types::Bytes,
};

/// Bytes of each body that don't count, so that small responses are read even if the budget is used up.
const FREE_BYTES: u64 = 64 * 1024;

/// Budget of bytes that all buffered bodies share.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    limit: Bytes,
    used: AtomicU64,
}

impl ByteBudget {
    pub(crate) fn new(limit: Bytes) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicU64::new(0),
        })
    }

    /// A lease without any bytes yet.
    pub(crate) fn lease(self: &Arc<Self>) -> ByteLease {
        ByteLease {
            budget: self.clone(),
            taken: Mutex::new(0),
        }
    }

    /// Reserves bytes; false if fewer are left.
    fn take(&self, bytes: u64) -> bool {
        let grow = |used: u64| {
            let grown = used.checked_add(bytes)?;
            (grown <= self.limit.0).then_some(grown)
        };
        self.used.fetch_update(SeqCst, SeqCst, grow).is_ok()
    }
}

/// Bytes reserved from a budget; released on drop.
#[derive(Debug)]
pub(crate) struct ByteLease {
    budget: Arc<ByteBudget>,
    taken: Mutex<u64>,
}

impl ByteLease {
    /// Reserves what a body of this size needs beyond the bytes reserved before; false if fewer are left.
    pub(crate) fn grow_to(&self, size: Bytes) -> bool {
        let mut taken = self.taken.lock();
        let needed = size.0.saturating_sub(FREE_BYTES);
        let more = needed.saturating_sub(*taken);
        if more > 0 && !self.budget.take(more) {
            return false;
        }
        *taken += more;
        true
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(*self.taken.lock(), SeqCst);
    }
}

#[cfg(test)]
#[path = "byte_budget_tests.rs"]
mod tests;
