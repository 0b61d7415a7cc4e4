//! Load of an endpoint: this VM's own requests, and those reported by other VMs.

use {
    super::{Outcomes, PendingPrefill},
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
    types::{VmId, ZoneId},
};

/// Whose load a report contains.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reporter {
    /// One VM.
    Vm(VmId),
    /// All VMs of an availability zone.
    Zone(ZoneId),
    /// All other VMs.
    Fleet,
}

/// Load that one VM puts on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    #[serde(rename = "flying")]
    pub in_flight: u32,
    /// Requests among them whose pause target would be missed if the engine were prefilling long
    /// prompts.
    #[serde(rename = "delicate")]
    pub pause_sensitive: u32,
    /// Prompt tokens not yet prefilled.
    #[serde(rename = "unread")]
    pub pending_prefill: PendingPrefill,
    /// KV cache memory of the requests, in tokens.
    pub memory: u64,
    /// Outcomes of the latest sends.
    #[serde(default)]
    pub outcomes: Outcomes,
}

impl Load {
    /// Adds a load.
    pub fn add(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.pause_sensitive += other.pause_sensitive;
        self.pending_prefill.add(other.pending_prefill);
        self.memory += other.memory;
        self.outcomes.add(other.outcomes);
    }

    /// Subtracts a load; no amount falls below zero.
    pub fn sub(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.pause_sensitive = self.pause_sensitive.saturating_sub(other.pause_sensitive);
        self.pending_prefill.sub(other.pending_prefill);
        self.memory = self.memory.saturating_sub(other.memory);
        self.outcomes.sub(other.outcomes);
    }
}

/// A reported load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    /// The load.
    pub load: Load,
    /// When the report expires.
    pub until: Instant,
}

/// Latest reported loads of the other VMs.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerLoads(HashMap<Reporter, PeerLoad>);

impl PeerLoads {
    pub(super) fn set(&mut self, reporter: &Reporter, load: PeerLoad) {
        if load.load == Load::default() {
            self.0.remove(reporter);
        } else {
            self.0.insert(reporter.clone(), load);
        }
    }

    /// Sum of the loads whose reporters match.
    pub(super) fn sum_of(&self, now: Instant, matches: impl Fn(&Reporter) -> bool) -> Load {
        let mut sum = Load::default();
        let current = self.0.iter().filter(|(_, p)| p.until > now);
        for (_, peer) in current.filter(|(reporter, _)| matches(reporter)) {
            sum.add(peer.load);
        }
        sum
    }

    pub(super) fn sum(&self, now: Instant) -> Load {
        self.sum_of(now, |_| true)
    }
}
