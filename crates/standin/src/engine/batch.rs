//! The engine's batch: who runs, who waits, and the prefix cache.

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
struct Inner {
    running: u32,
    /// Priority, then order of arrival.
    waiting: BTreeSet<(i64, u64)>,
    arrivals: u64,
    cache: VecDeque<u64>,
}

/// Requests that run and wait.
#[derive(Debug)]
pub(super) struct Batch {
    profile: EngineSettings,
    inner: Mutex<Inner>,
    freed: Event,
}

/// A place among the running requests, given back when dropped.
pub(super) struct Place(Arc<Batch>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.inner.lock().running -= 1;
        self.0.freed.notify(usize::MAX);
    }
}

/// A place in the waiting line, given back when dropped.
struct InLine<'a> {
    batch: &'a Batch,
    key: (i64, u64),
}

impl Drop for InLine<'_> {
    fn drop(&mut self) {
        self.batch.inner.lock().waiting.remove(&self.key);
        self.batch.freed.notify(usize::MAX);
    }
}

impl Batch {
    pub(super) fn new(profile: EngineSettings) -> Arc<Self> {
        Arc::new(Self {
            profile,
            inner: Mutex::default(),
            freed: Event::new(),
        })
    }

    /// Waits for a place.
    pub(super) async fn enter(self: &Arc<Self>, priority: i64) -> Place {
        let line = self.line_up(priority);
        loop {
            let freed = self.freed.listen();
            if self.try_start(line.key) {
                return Place(self.clone());
            }
            freed.await;
        }
    }

    fn line_up(&self, priority: i64) -> InLine<'_> {
        let mut inner = self.inner.lock();
        inner.arrivals += 1;
        let key = (priority, inner.arrivals);
        inner.waiting.insert(key);
        InLine { batch: self, key }
    }

    fn try_start(&self, key: (i64, u64)) -> bool {
        let mut inner = self.inner.lock();
        let first = inner.waiting.first() == Some(&key);
        if !first || inner.running >= self.profile.slots {
            return false;
        }
        inner.running += 1;
        true
    }

    pub(super) fn running(&self) -> u32 {
        self.inner.lock().running
    }

    pub(super) fn waiting(&self) -> u32 {
        self.inner.lock().waiting.len() as u32
    }

    /// Whether the prompt's start is cached; afterwards it is.
    pub(super) fn touch_cache(&self, prefix: u64) -> bool {
        let mut inner = self.inner.lock();
        let hit = inner.cache.iter().position(|p| *p == prefix);
        if let Some(at) = hit {
            inner.cache.remove(at);
        }
        inner.cache.push_back(prefix);
        if inner.cache.len() > self.profile.cached_prefixes {
            inner.cache.pop_front();
        }
        hit.is_some()
    }
}
