//! Engines kept free of long prompts.
//!
//! Answers this load: bulk prompts that are read all the time stretch the pauses of every stream at
//! the same engine. Streams with short pause targets gather at a few engines that all VMs agree on
//! without exchange, the steady ones first, and long prompts go elsewhere while there is room.

use {
    super::placer::Row,
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash, Hasher},
    },
    types::{EndpointId, ZoneId},
};

/// Delicate requests that one quiet engine is meant to run at most.
const DELICATE_EACH: u32 = 40;
/// Share of an engine's slots that delicate requests are meant to take: leaves room for their
/// swings.
const DELICATE_SHARE: f64 = 0.75;
/// Largest share of engines that are quiet.
const MOST_QUIET: f64 = 0.4;

/// The quiet engines among `rows` for `delicate` requests of the fleet.
pub(super) fn quiet<'a>(
    rows: impl Iterator<Item = &'a Row>,
    delicate: u32,
) -> BTreeSet<EndpointId> {
    let mut order: Vec<(bool, u64, &Row)> = rows
        .map(|r| (r.place.cheap, weight(&r.place.id), r))
        .collect();
    order.sort_by_key(|(cheap, weight, _)| (*cheap, *weight));
    let most = ((order.len() as f64 * MOST_QUIET) as usize).max(1);
    let mut turn: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, usize, &EndpointId)> = Vec::with_capacity(order.len());
    for (at, (_, _, row)) in order.iter().enumerate() {
        let round = turn.entry(&row.place.zone).or_default();
        ranked.push((*round, at, &row.place.id));
        *round += 1;
    }
    ranked.sort_unstable();
    let zones = turn.len();
    let slots = order.iter().map(|(_, _, r)| r.place.slots).min();
    let each = (f64::from(slots.unwrap_or(1)) * DELICATE_SHARE) as u32;
    let wanted = delicate.div_ceil(each.clamp(1, DELICATE_EACH)) as usize;
    // In whole rounds over the zones, so that the set seldom changes: sessions move when it does.
    let rounds = wanted.div_ceil(zones.max(1)).max(1);
    let wanted = zones * rounds.next_multiple_of(if rounds > 2 { 2 } else { 1 });
    let chosen = ranked.into_iter().take(wanted.min(most));
    chosen.map(|(_, _, id)| id.clone()).collect()
}

fn weight(id: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_str().hash(&mut hasher);
    hasher.finish()
}
