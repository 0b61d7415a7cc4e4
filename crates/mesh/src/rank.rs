//! Rendezvous hashing of keys onto VMs.

use types::{KeyDigest, VmId};

/// Orders VMs by their hash weight for `key`, highest first. The order is the same wherever it is
/// computed, and a VM that joins or leaves moves only its own keys. The home of a key is the first
/// VM that is usable.
pub fn rank_vms(key: &str, vms: impl Iterator<Item = VmId>) -> Vec<VmId> {
    let mut weighed: Vec<(u64, VmId)> = vms.map(|vm| (weight(key, &vm), vm)).collect();
    weighed.sort_by(|a, b| b.cmp(a));
    weighed.into_iter().map(|(_, vm)| vm).collect()
}

fn weight(key: &str, vm: &VmId) -> u64 {
    let digest = KeyDigest::of_key(format!("{key}\n{vm}").as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&digest.bytes()[..8]);
    u64::from_le_bytes(word)
}
