//! A one-way flag that tells tasks to stop.

use {
    event_listener::Event,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

#[derive(Debug, Default)]
struct Shared {
    set: AtomicBool,
    event: Event,
}

/// A flag that is set once and that tasks can wait for. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct StopSignal(Arc<Shared>);

impl StopSignal {
    /// Sets the flag and wakes all waiting tasks.
    pub fn trigger(&self) {
        self.0.set.store(true, Ordering::SeqCst);
        self.0.event.notify(usize::MAX);
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.set.load(Ordering::SeqCst)
    }

    /// Resolves once the flag is set.
    pub async fn wait(&self) {
        loop {
            let listener = self.0.event.listen();
            if self.is_set() {
                return;
            }
            listener.await;
        }
    }
}
