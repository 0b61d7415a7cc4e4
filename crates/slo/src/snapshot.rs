//! Snapshot of the counts of one entry, or merged ones of several.

use {
    crate::{TargetCounts, WindowedCounts},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{ClassId, OrgId, Tokens, ZoneId},
};

/// The objective of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassObjective {
    /// Class.
    pub class: ClassId,
    /// Fraction of requests that must meet the targets, from 0 to 1.
    pub objective: f64,
}

/// Counts of one organisation in one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrgCounts {
    /// Class.
    pub class: ClassId,
    /// Organisation.
    pub org: OrgId,
    /// Counts over the windows up to the snapshot.
    pub spans: WindowedCounts,
    /// Counts since the start of the entry.
    pub all: TargetCounts,
    /// Tokens since the start of the entry.
    pub tokens: Tokens,
}

/// Endpoint time of one availability zone, as observed by one entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointTime {
    /// Observed time, in seconds.
    pub seconds: f64,
    /// Endpoint-seconds of steady endpoints.
    pub steady: f64,
    /// Endpoint-seconds of cheap endpoints.
    pub cheap: f64,
}

/// Counts of one or more entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SloSnapshot {
    /// Length of a unit of the windows, in seconds.
    pub unit: f64,
    /// Objectives of the classes.
    pub classes: Vec<ClassObjective>,
    /// Counts by class and organisation.
    pub orgs: Vec<OrgCounts>,
    /// Endpoint time by availability zone.
    pub zones: BTreeMap<ZoneId, EndpointTime>,
}

impl SloSnapshot {
    /// Merges the snapshots of several entries. Counts are added; the endpoint time of a zone is
    /// that of the entry that observed it longest, since all entries of a zone observe the same
    /// endpoints.
    pub fn merge(parts: impl IntoIterator<Item = Self>) -> Self {
        let mut merged = Self::default();
        let mut classes: BTreeMap<ClassId, ClassObjective> = BTreeMap::new();
        let mut orgs: BTreeMap<(ClassId, OrgId), OrgCounts> = BTreeMap::new();
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
                let longest = merged.zones.entry(zone).or_default();
                if spending.seconds > longest.seconds {
                    *longest = spending;
                }
            }
        }
        merged.classes = classes.into_values().collect();
        merged.orgs = orgs.into_values().collect();
        merged
    }
}

impl OrgCounts {
    fn add(&mut self, other: &Self) {
        self.spans.add(&other.spans);
        self.all.add(other.all);
        self.tokens += other.tokens;
    }
}
