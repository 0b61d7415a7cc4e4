//! The engine's batch: running and waiting requests, and the prefix cache.

use {
    super::control::EngineSettings,
    event_listener::Event,
    parking_lot::Mutex,
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
    },
};

#[derive(Debug, Default)]
struct BatchState {
    running: u32,
    /// Priority and arrival number of each waiting request, the first to run first.
    waiting: BTreeSet<(i64, u64)>,
    /// Number of arrivals so far.
    arrivals: u64,
    /// Hashes of cached prompt prefixes, least recently used first.
    cache: VecDeque<u64>,
}

/// Requests of an engine that run or wait for a slot.
#[derive(Debug)]
pub(super) struct Batch {
    profile: EngineSettings,
    state: Mutex<BatchState>,
    /// Notified when a slot is freed or a request stops waiting.
    changed: Event,
}

/// A slot of a running request. Dropping it frees the slot.
pub(super) struct Slot(Arc<Batch>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.state.lock().running -= 1;
        self.0.changed.notify(usize::MAX);
    }
}

/// A request in the queue. Dropping it removes the request.
struct Waiter<'a> {
    batch: &'a Batch,
    key: (i64, u64),
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.batch.state.lock().waiting.remove(&self.key);
        self.batch.changed.notify(usize::MAX);
    }
}

impl Batch {
    pub(super) fn new(profile: EngineSettings) -> Arc<Self> {
        Arc::new(Self {
            profile,
            state: Mutex::default(),
            changed: Event::new(),
        })
    }

    /// Waits for a free slot. Lower priorities come first, equal ones in order of arrival.
    pub(super) async fn acquire_slot(self: &Arc<Self>, priority: i64) -> Slot {
        let waiter = self.enqueue(priority);
        loop {
            let changed = self.changed.listen();
            if self.try_acquire(waiter.key) {
                return Slot(self.clone());
            }
            changed.await;
        }
    }

    fn enqueue(&self, priority: i64) -> Waiter<'_> {
        let mut state = self.state.lock();
        state.arrivals += 1;
        let key = (priority, state.arrivals);
        state.waiting.insert(key);
        Waiter { batch: self, key }
    }

    fn try_acquire(&self, key: (i64, u64)) -> bool {
        let mut state = self.state.lock();
        let is_first = state.waiting.first() == Some(&key);
        if !is_first || state.running >= self.profile.slots {
            return false;
        }
        state.running += 1;
        true
    }

    pub(super) fn running(&self) -> u32 {
        self.state.lock().running
    }

    pub(super) fn waiting(&self) -> u32 {
        self.state.lock().waiting.len() as u32
    }

    /// Whether the prompt's prefix was cached. Afterwards it is cached as the most recently used.
    pub(super) fn touch_cache(&self, prefix: u64) -> bool {
        let mut state = self.state.lock();
        let hit = state.cache.iter().position(|p| *p == prefix);
        if let Some(index) = hit {
            state.cache.remove(index);
        }
        state.cache.push_back(prefix);
        if state.cache.len() > self.profile.cached_prefixes {
            state.cache.pop_front();
        }
        hit.is_some()
    }
}
