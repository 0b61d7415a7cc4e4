//! A bound for the memory of the bodies that a VM holds at a time.

use {
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    types::Bytes,
};

/// Memory of one body that isn't counted: small responses are read whatever large ones take.
const FREE_BYTES: u64 = 64 * 1024;

/// Bytes that bodies may take together.
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

    /// A share of the budget that is empty yet.
    pub(crate) fn lease(self: &Arc<Self>) -> ByteLease {
        ByteLease {
            budget: self.clone(),
            taken: Mutex::new(0),
        }
    }

    /// Takes so many bytes if they are left.
    fn take(&self, bytes: u64) -> bool {
        let grow = |used: u64| {
            let grown = used.checked_add(bytes)?;
            (grown <= self.limit.0).then_some(grown)
        };
        self.used.fetch_update(SeqCst, SeqCst, grow).is_ok()
    }
}

/// Bytes taken from a budget, which are given back when it is dropped.
#[derive(Debug)]
pub(crate) struct ByteLease {
    budget: Arc<ByteBudget>,
    taken: Mutex<u64>,
}

impl ByteLease {
    /// Takes what a body of this size needs beyond what was taken before; false if it isn't left.
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
