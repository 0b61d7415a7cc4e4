//! What one entry has counted, and the sum over several entries.

use {
    crate::{Spans, Tally},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{ClassId, OrgId, Tokens, ZoneId},
};

/// A class and the share of its requests that must meet the targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassTarget {
    /// The class.
    pub class: ClassId,
    /// Share, from 0 to 1.
    pub objective: f64,
}

/// Counts of one organisation in one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrgTally {
    /// Class.
    pub class: ClassId,
    /// Organisation.
    pub org: OrgId,
    /// Over the last while.
    pub spans: Spans,
    /// Since the start of the entry.
    pub all: Tally,
    /// Tokens since the start of the entry.
    pub tokens: Tokens,
}

/// Endpoint time of one availability zone, as one entry saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Spending {
    /// Time that was looked at, in seconds.
    pub seconds: f64,
    /// Endpoint-seconds of steady endpoints.
    pub steady: f64,
    /// Endpoint-seconds of cheap endpoints.
    pub cheap: f64,
}

/// What entries have counted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Length of a unit of the spans, in seconds.
    pub unit: f64,
    /// Classes.
    pub classes: Vec<ClassTarget>,
    /// Counts.
    pub orgs: Vec<OrgTally>,
    /// Endpoint time by availability zone.
    pub zones: BTreeMap<ZoneId, Spending>,
}

impl Snapshot {
    /// The sum over several entries. Of the entries of one zone, the one that looked longest stands for
    /// the zone's endpoint time.
    pub fn merge(parts: impl IntoIterator<Item = Self>) -> Self {
        let mut merged = Self::default();
        let mut classes: BTreeMap<ClassId, ClassTarget> = BTreeMap::new();
        let mut orgs: BTreeMap<(ClassId, OrgId), OrgTally> = BTreeMap::new();
        for part in parts {
            merged.unit = merged.unit.max(part.unit);
            for class in part.classes {
                classes.insert(class.class.clone(), class);
            }
            for row in part.orgs {
                let key = (row.class.clone(), row.org.clone());
                match orgs.get_mut(&key) {
                    Some(sum) => sum.add(&row),
                    None => {
                        orgs.insert(key, row);
                    }
                }
            }
            for (zone, spending) in part.zones {
                let known = merged.zones.entry(zone).or_default();
                if spending.seconds > known.seconds {
                    *known = spending;
                }
            }
        }
        merged.classes = classes.into_values().collect();
        merged.orgs = orgs.into_values().collect();
        merged
    }
}

impl OrgTally {
    fn add(&mut self, other: &Self) {
        self.spans.add(&other.spans);
        self.all.add(other.all);
        self.tokens += other.tokens;
    }
}
