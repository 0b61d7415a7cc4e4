//! Free slots by availability zone and model, as last heard. A hint: the scheduler itself decides.

use {
    super::Headroom,
    clock::Stamp,
    std::{collections::BTreeMap, time::Duration},
    types::{ModelId, ZoneId},
};

/// Age from which figures are neither used nor passed on.
const MAX_AGE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct Figures {
    free: u32,
    waiting: u32,
    at: Stamp,
}

/// Free slots by availability zone and model.
#[derive(Debug, Clone, Default)]
pub struct HeadroomTable {
    known: BTreeMap<(ZoneId, ModelId), Figures>,
}

impl HeadroomTable {
    /// Takes in figures that are newer than those known.
    pub fn merge(&mut self, now: Stamp, headroom: Vec<Headroom>) {
        for h in headroom {
            let at = now - h.age;
            let entry = self.known.entry((h.zone, h.serves));
            let figures = Figures {
                free: h.free,
                waiting: h.waiting,
                at,
            };
            let known = entry.or_insert(figures);
            if known.at < at {
                *known = figures;
            }
        }
        self.known.retain(|_, f| now.since(f.at) < MAX_AGE);
    }

    /// Figures to pass on.
    pub fn snapshot(&self, now: Stamp) -> Vec<Headroom> {
        let young = self.known.iter().filter(|(_, f)| now.since(f.at) < MAX_AGE);
        let headroom = |((zone, serves), f): (&(ZoneId, ModelId), &Figures)| Headroom {
            zone: zone.clone(),
            serves: serves.clone(),
            free: f.free,
            waiting: f.waiting,
            age: now.since(f.at),
        };
        young.map(headroom).collect()
    }

    /// Whether requests wait for `serves` in `zone` while no slot is free.
    pub fn is_full(&self, now: Stamp, zone: &ZoneId, serves: &ModelId) -> bool {
        let figures = self.known.get(&(zone.clone(), serves.clone()));
        let young = figures.filter(|f| now.since(f.at) < MAX_AGE);
        young.is_some_and(|f| f.free == 0 && f.waiting > 0)
    }

    /// The availability zone other than `own` with most free slots for `serves`.
    pub fn zone_with_most_free(
        &self,
        now: Stamp,
        own: &ZoneId,
        serves: &ModelId,
    ) -> Option<ZoneId> {
        let young = self.known.iter().filter(|(_, f)| now.since(f.at) < MAX_AGE);
        let others = young.filter(|((zone, s), f)| zone != own && s == serves && f.free > 0);
        let best = others.max_by_key(|(_, f)| f.free)?;
        Some(best.0.0.clone())
    }
}
