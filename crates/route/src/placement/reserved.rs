//! Engines reserved for pause-sensitive streams and kept free of long prompts.
//!
//! Continuous prefill of bulk prompts lengthens the pauses of every stream at the same engine.
//! Streams with short pause targets are therefore concentrated on a few engines, steady ones first,
//! which all VMs select alike without coordination. Long prompts go to the other engines while
//! those have capacity.

use {
    super::tracked_endpoint::TrackedEndpoint,
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash, Hasher},
    },
    types::{EndpointId, ZoneId},
};

/// Maximum number of pause-sensitive requests planned for one reserved engine.
const MAX_SENSITIVE_PER_ENGINE: u32 = 40;
/// Share of an engine's slots planned for pause-sensitive requests; the rest absorbs fluctuations.
const SENSITIVE_SLOT_SHARE: f64 = 0.75;
/// Maximum share of engines that are reserved.
const MAX_RESERVED_SHARE: f64 = 0.4;

/// Selects the engines to reserve for the `pause_sensitive` requests of the whole fleet. While slots are short,
/// `bulk` is the number of engines that the long prompts need, and the others may all be reserved.
pub(super) fn reserved_engines<'a>(
    endpoints: impl Iterator<Item = &'a TrackedEndpoint>,
    pause_sensitive: u32,
    bulk: Option<usize>,
) -> BTreeSet<EndpointId> {
    let mut sorted: Vec<(bool, u64, &TrackedEndpoint)> = endpoints
        .map(|e| (e.spec.cheap, hash(&e.spec.id), e))
        .collect();
    sorted.sort_by_key(|(cheap, hash, _)| (*cheap, *hash));
    let max_reserved = ((sorted.len() as f64 * MAX_RESERVED_SHARE) as usize).max(1);
    let spare = bulk.map_or(0, |bulk| sorted.len().saturating_sub(bulk));
    let max_reserved = max_reserved.max(spare);
    let mut zone_rounds: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, usize, &EndpointId)> = Vec::with_capacity(sorted.len());
    for (at, (_, _, endpoint)) in sorted.iter().enumerate() {
        let round = zone_rounds.entry(&endpoint.spec.zone).or_default();
        ranked.push((*round, at, &endpoint.spec.id));
        *round += 1;
    }
    ranked.sort_unstable();
    let zones = zone_rounds.len();
    let slots = sorted.iter().map(|(_, _, e)| e.spec.slots).min();
    let per_engine = (f64::from(slots.unwrap_or(1)) * SENSITIVE_SLOT_SHARE) as u32;
    let wanted = pause_sensitive.div_ceil(per_engine.clamp(1, MAX_SENSITIVE_PER_ENGINE)) as usize;
    // Whole rounds over the zones keep the set stable; sessions move whenever it changes.
    let rounds = wanted.div_ceil(zones.max(1)).max(1);
    let wanted = zones * rounds.next_multiple_of(if rounds > 2 { 2 } else { 1 });
    let chosen = ranked.into_iter().take(wanted.min(max_reserved));
    chosen.map(|(_, _, id)| id.clone()).collect()
}

fn hash(id: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_str().hash(&mut hasher);
    hasher.finish()
}
