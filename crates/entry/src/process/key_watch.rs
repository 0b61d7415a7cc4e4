//! Watches on keys in use, by which a withdrawal ends running requests.

use {
    mesh::Store,
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
    types::KeyDigest,
    wire::StopSignal,
};

#[derive(Default)]
struct Watched {
    stop: StopSignal,
    users: usize,
}

/// Keys that running requests use.
#[derive(Default)]
pub(crate) struct KeyWatches {
    watched: Mutex<HashMap<KeyDigest, Watched>>,
}

/// A running request's watch on its key.
pub(crate) struct KeyWatch {
    watches: Arc<KeyWatches>,
    key: KeyDigest,
    stop: StopSignal,
}

impl KeyWatches {
    /// Registers a user of `key`.
    pub(crate) fn watch(self: &Arc<Self>, key: KeyDigest) -> KeyWatch {
        let mut watched = self.watched.lock();
        let entry = watched.entry(key).or_default();
        entry.users += 1;
        KeyWatch {
            watches: self.clone(),
            key,
            stop: entry.stop.clone(),
        }
    }

    /// Notifies the users of withdrawn keys.
    pub(crate) fn notify_withdrawn(&self, store: &Store) {
        for (key, watched) in self.watched.lock().iter() {
            if store.is_withdrawn(key) {
                watched.stop.trigger();
            }
        }
    }
}

impl KeyWatch {
    /// Resolves when the key is withdrawn.
    pub(crate) async fn wait_withdrawn(&self) {
        self.stop.wait().await;
    }

    /// Whether the key is withdrawn.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.stop.is_set()
    }
}

impl Drop for KeyWatch {
    fn drop(&mut self) {
        let mut watched = self.watches.watched.lock();
        if let Some(entry) = watched.get_mut(&self.key) {
            entry.users -= 1;
            if entry.users == 0 {
                watched.remove(&self.key);
            }
        }
    }
}
