//! Load of an endpoint: what this VM sent there, and what others say they sent.

use {
    clock::Stamp,
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
    #[serde(rename = "flying")]
    pub in_flight: u32,
    /// Those of them that prompts of others would delay past their pause target.
    #[serde(rename = "delicate")]
    pub pause_sensitive: u32,
    /// Prompt tokens to be read before first tokens, by rank.
    #[serde(rename = "unread")]
    pub pending_prefill: [u64; RANKS],
    /// Memory that the requests take, in tokens.
    pub memory: u64,
}

/// Rank of a tier.
pub(super) fn rank(tier: Tier) -> usize {
    usize::from(tier.0).min(RANKS - 1)
}

impl Load {
    pub(super) fn add(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.pause_sensitive += other.pause_sensitive;
        for (own, more) in self.pending_prefill.iter_mut().zip(other.pending_prefill) {
            *own += more;
        }
        self.memory += other.memory;
    }

    pub(super) fn sub(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.pause_sensitive = self.pause_sensitive.saturating_sub(other.pause_sensitive);
        for (own, less) in self.pending_prefill.iter_mut().zip(other.pending_prefill) {
            *own = own.saturating_sub(less);
        }
        self.memory = self.memory.saturating_sub(other.memory);
    }

    /// Tokens that are read before those of a new request of `tier`.
    pub(super) fn ahead(&self, tier: Tier) -> u64 {
        self.pending_prefill[..=rank(tier)].iter().sum()
    }

    /// All tokens that wait to be read.
    pub fn total_prefill(&self) -> u64 {
        self.pending_prefill.iter().sum()
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
