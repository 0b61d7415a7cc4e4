//! Free slots by availability zone and model, as last reported. They are only a hint: the scheduler
//! of the model decides whether a request gets a slot.

use {
    super::Headroom,
    clock::Instant,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
    types::{ModelId, ZoneId},
};

/// Age at which an entry is neither used nor passed on.
const MAX_AGE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct SlotCounts {
    free: u32,
    waiting: u32,
    at: Instant,
}

/// Free slots by availability zone and model.
#[derive(Debug, Clone, Default)]
pub struct HeadroomTable {
    known: BTreeMap<(ZoneId, ModelId), SlotCounts>,
}

impl HeadroomTable {
    /// Merges reported counts, keeping the newest ones of each zone and model, and removes expired
    /// entries.
    pub fn merge(&mut self, now: Instant, headroom: Vec<Headroom>) {
        for h in headroom {
            let at = now - h.age;
            let entry = self.known.entry((h.zone, h.serves));
            let counts = SlotCounts {
                free: h.free,
                waiting: h.waiting,
                at,
            };
            let known = entry.or_insert(counts);
            if known.at < at {
                *known = counts;
            }
        }
        self.known.retain(|_, c| now.since(c.at) < MAX_AGE);
    }

    /// All entries that have not expired, to be sent to other VMs.
    pub fn snapshot(&self, now: Instant) -> Vec<Headroom> {
        let fresh = self.known.iter().filter(|(_, c)| now.since(c.at) < MAX_AGE);
        let headroom = |((zone, serves), c): (&(ZoneId, ModelId), &SlotCounts)| Headroom {
            zone: zone.clone(),
            serves: serves.clone(),
            free: c.free,
            waiting: c.waiting,
            age: now.since(c.at),
        };
        fresh.map(headroom).collect()
    }

    /// Whether requests wait for `serves` in `zone` while no slot is free.
    pub fn is_full(&self, now: Instant, zone: &ZoneId, serves: &ModelId) -> bool {
        let counts = self.known.get(&(zone.clone(), serves.clone()));
        let fresh = counts.filter(|c| now.since(c.at) < MAX_AGE);
        fresh.is_some_and(|c| c.free == 0 && c.waiting > 0)
    }

    /// The availability zone other than `own` with the most free slots for `serves`.
    pub fn zone_with_most_free(
        &self,
        now: Instant,
        own: &ZoneId,
        serves: &ModelId,
    ) -> Option<ZoneId> {
        let fresh = self.known.iter().filter(|(_, c)| now.since(c.at) < MAX_AGE);
        let others = fresh.filter(|((zone, s), c)| zone != own && s == serves && c.free > 0);
        let best = others.max_by_key(|(_, c)| c.free)?;
        Some(best.0.0.clone())
    }

    /// The one of `zones` with the most free slots for `serves`, or with the fewest waiting requests if none
    /// is free. Zones without known counts come last.
    pub fn best_of<'a>(
        &self,
        now: Instant,
        serves: &ModelId,
        zones: impl IntoIterator<Item = &'a ZoneId>,
    ) -> Option<&'a ZoneId> {
        let rank = |zone: &ZoneId| {
            let counts = self.known.get(&(zone.clone(), serves.clone()));
            let fresh = counts.filter(|c| now.since(c.at) < MAX_AGE);
            fresh.map_or((0, Reverse(u32::MAX)), |c| (c.free, Reverse(c.waiting)))
        };
        zones.into_iter().max_by_key(|zone| rank(zone))
    }
}
