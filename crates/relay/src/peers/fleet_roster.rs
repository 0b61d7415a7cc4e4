//! The order of a large fleet's VMs, which a hub tells the VMs of its zone.

use {
    route::FleetRank,
    serde::{Deserialize, Serialize},
    std::hash::{DefaultHasher, Hash, Hasher},
    types::{VmId, ZoneId},
};

/// First bytes of an encoded roster; neither gossip messages nor load summaries begin with them.
const MARKER: [u8; 2] = [0xc1, 0xc1];

/// The VMs of a zone in order, and their place among those of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FleetRoster {
    /// The zone.
    pub(crate) zone: ZoneId,
    /// Number of VMs of the preceding zones.
    pub(crate) before: u32,
    /// Number of VMs of the fleet.
    pub(crate) vms: u32,
    /// Hashes of the names of the zone's VMs, in the order of the names.
    members: Vec<u32>,
}

impl FleetRoster {
    /// The roster of the VMs of `zone`, in order.
    pub(crate) fn new<'a>(
        zone: ZoneId,
        (before, vms): (u32, u32),
        members: impl Iterator<Item = &'a VmId>,
    ) -> Self {
        Self {
            zone,
            before,
            vms,
            members: members.map(hash).collect(),
        }
    }

    /// The position of a VM in the fleet; `None` if it isn't one of the zone's.
    pub(crate) fn rank_of(&self, vm: &VmId) -> Option<FleetRank> {
        let hash = hash(vm);
        let at = self.members.iter().position(|m| *m == hash)?;
        Some(FleetRank {
            rank: self.before + u32::try_from(at).ok()?,
            vms: self.vms,
        })
    }

    pub(crate) fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let mut bytes = MARKER.to_vec();
        rmp_serde::encode::write(&mut bytes, self)?;
        Ok(bytes)
    }

    /// Decodes a roster; `None` if the datagram is something else.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Result<Self, rmp_serde::decode::Error>> {
        let body = bytes.strip_prefix(&MARKER)?;
        Some(rmp_serde::from_slice(body))
    }
}

/// A short form of a VM's name.
fn hash(vm: &VmId) -> u32 {
    let mut hasher = DefaultHasher::new();
    vm.as_str().hash(&mut hasher);
    hasher.finish() as u32
}
