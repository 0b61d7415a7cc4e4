//! VMs that wait for the origins of streams, as known to a hub that has asked others.

use {
    super::StreamKey,
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time for which a hub waits for what others know.
const ASK_TIME: Duration = Duration::from_millis(500);
const MAX_STREAMS: usize = 4_096;
/// Largest number of VMs that wait for one stream.
const MAX_ASKERS: usize = 8;

#[derive(Debug)]
struct Waiting {
    until: Instant,
    addrs: BTreeSet<SocketAddr>,
}

/// The VMs that wait, by stream.
#[derive(Debug, Default)]
pub(crate) struct Askers(BTreeMap<StreamKey, Waiting>);

impl Askers {
    pub(crate) fn add(&mut self, now: Instant, key: StreamKey, addr: SocketAddr) {
        if self.0.len() >= MAX_STREAMS {
            self.expire(now);
        }
        if self.0.len() >= MAX_STREAMS {
            return;
        }
        let waiting = self.0.entry(key).or_insert_with(|| Waiting {
            until: now,
            addrs: BTreeSet::new(),
        });
        waiting.until = now + ASK_TIME;
        if waiting.addrs.len() < MAX_ASKERS {
            waiting.addrs.insert(addr);
        }
    }

    /// Takes those that wait for a stream.
    pub(crate) fn take(&mut self, now: Instant, key: &StreamKey) -> BTreeSet<SocketAddr> {
        let waiting = self.0.remove(key).filter(|w| now < w.until);
        waiting.map(|w| w.addrs).unwrap_or_default()
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, w| now < w.until);
    }
}
