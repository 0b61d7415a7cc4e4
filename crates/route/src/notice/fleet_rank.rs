//! The part of a VM in a limit that an endpoint names for the whole fleet.

use {
    std::hash::{DefaultHasher, Hash, Hasher},
    types::{EndpointId, PerSecond},
};

/// Smallest share of a limit, in requests per second, unless the limit itself is smaller. Smaller
/// shares of more VMs would add up to bursts, as each VM may save one request.
const MIN_SHARE: f64 = 1.0;

/// Position of a VM in the order of the fleet's VMs, which all of them agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetRank {
    /// Number of VMs that precede this one.
    pub rank: u32,
    /// Number of VMs.
    pub vms: u32,
}

impl FleetRank {
    /// The share of this VM in a limit of an endpoint. A limit too small for all VMs is divided
    /// evenly among some of them, others for each endpoint; the rest have a share of zero.
    pub fn share(self, limit: PerSecond, endpoint: &EndpointId) -> PerSecond {
        let vms = u64::from(self.vms.max(1));
        let wanted = (limit.get() / MIN_SHARE) as u64;
        let holders = wanted.saturating_add(1).min(vms);
        let mut hasher = DefaultHasher::new();
        endpoint.as_str().hash(&mut hasher);
        let distance = (u64::from(self.rank) + hasher.finish() % vms) % vms;
        // Holds for `holders` of `vms` distances, spread evenly.
        if distance * holders % vms >= holders {
            return PerSecond::default();
        }
        PerSecond::try_from(limit.get() / holders as f64).unwrap_or_default()
    }
}
