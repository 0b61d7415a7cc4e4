//! Load of an endpoint: what this VM sent there, and what others say they sent.

use {
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
    types::{Tier, VmId},
};

/// Ranks that unread prompts are told apart by; lower tiers share the last one.
const RANKS: usize = 3;

/// Requests of one VM at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub flying: u32,
    /// Those of them that prompts of others would delay past their pause target.
    pub delicate: u32,
    /// Prompt tokens to be read before first tokens, by rank.
    pub unread: [u64; RANKS],
    /// Memory that the requests take, in tokens.
    pub memory: u64,
}

/// Rank of a tier.
pub(super) fn rank(tier: Tier) -> usize {
    usize::from(tier.0).min(RANKS - 1)
}

impl Load {
    pub(super) fn add(&mut self, other: Self) {
        self.flying += other.flying;
        self.delicate += other.delicate;
        for (own, more) in self.unread.iter_mut().zip(other.unread) {
            *own += more;
        }
        self.memory += other.memory;
    }

    pub(super) fn sub(&mut self, other: Self) {
        self.flying = self.flying.saturating_sub(other.flying);
        self.delicate = self.delicate.saturating_sub(other.delicate);
        for (own, less) in self.unread.iter_mut().zip(other.unread) {
            *own = own.saturating_sub(less);
        }
        self.memory = self.memory.saturating_sub(other.memory);
    }

    /// Tokens that are read before those of a new request of `tier`.
    pub(super) fn ahead(&self, tier: Tier) -> u64 {
        self.unread[..=rank(tier)].iter().sum()
    }

    /// All tokens that wait to be read.
    pub fn unread(&self) -> u64 {
        self.unread.iter().sum()
    }
}

/// Load that another VM told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    /// The load.
    pub load: Load,
    /// After this the word is too old to count.
    pub until: Instant,
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

    pub(super) fn sum(&self, now: Instant) -> Load {
        let mut sum = Load::default();
        for peer in self.0.values().filter(|p| p.until > now) {
            sum.add(peer.load);
        }
        sum
    }
}
