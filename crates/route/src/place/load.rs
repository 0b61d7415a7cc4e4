//! Load of an endpoint: what this VM sent there, and what others say they sent.

use {
    clock::Stamp,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
    types::VmId,
};

/// Requests of one VM at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub flying: u32,
    /// Prompt tokens to be read before the first tokens of those that wait for it.
    pub unread: u64,
    /// Memory that the requests take, in tokens.
    pub memory: u64,
}

impl Load {
    pub(super) fn add(&mut self, other: Self) {
        self.flying += other.flying;
        self.unread += other.unread;
        self.memory += other.memory;
    }

    pub(super) fn sub(&mut self, other: Self) {
        self.flying = self.flying.saturating_sub(other.flying);
        self.unread = self.unread.saturating_sub(other.unread);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

/// Load that another VM told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    /// The load.
    pub load: Load,
    /// After this the word is too old to count.
    pub until: Stamp,
}

/// Loads by VM.
#[derive(Debug, Clone, Default)]
pub(super) struct Foreign(HashMap<VmId, PeerLoad>);

impl Foreign {
    pub(super) fn set(&mut self, vm: &VmId, load: PeerLoad) {
        if load.load == Load::default() {
            self.0.remove(vm);
        } else {
            self.0.insert(vm.clone(), load);
        }
    }

    pub(super) fn sum(&self, now: Stamp) -> Load {
        let mut sum = Load::default();
        for peer in self.0.values().filter(|p| p.until > now) {
            sum.add(peer.load);
        }
        sum
    }
}
