//! One VM's replica of the shared state. The version of each part never decreases.

use {
    compact_str::CompactString,
    conf::Config,
    ports::{VmList, ZoneEndpoints},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
    types::{KeyDigest, Version, ZoneId},
};

/// Most configuration records kept, so that a peer that lacks only recent ones is not sent the
/// whole configuration.
const MAX_RECORDS: usize = 1024;

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// The encoded change.
    pub data: CompactString,
}

/// Versions of the parts of a store, by which a peer decides what to send.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Version of the configuration.
    pub config: Version,
    /// Revision of the VM list.
    pub vms: u64,
    /// Revision of each availability zone's endpoint list.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, u64>,
    /// Number of withdrawn keys in the set that is replicated outside the configuration.
    #[serde(default)]
    pub revoked: u64,
    /// Exclusive-or over the digests of these keys, to tell sets of equal size apart.
    #[serde(default)]
    pub revoked_mix: u64,
}

/// Changes that one VM sends to bring another up to date.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The whole configuration, if the kept records do not reach back far enough.
    #[serde(default)]
    pub config: Option<Config>,
    /// Configuration records in order of their offsets.
    #[serde(default)]
    pub records: Vec<ConfigRecord>,
    /// The VM list.
    #[serde(default)]
    pub vms: Option<VmList>,
    /// Endpoint lists of availability zones.
    #[serde(default)]
    pub zones: Vec<ZoneEndpoints>,
    /// Withdrawn keys.
    #[serde(default)]
    pub revoked: Vec<KeyDigest>,
}

impl Delta {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Which parts of a store a delta changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// The configuration.
    pub config: bool,
    /// The VM list.
    pub vms: bool,
    /// An endpoint list.
    pub endpoints: bool,
    /// The set of withdrawn keys.
    pub revoked: bool,
}

impl StoreChanges {
    /// Whether any part changed.
    pub fn any(self) -> bool {
        self.config || self.vms || self.endpoints || self.revoked
    }
}

/// One VM's replica of the shared state.
#[derive(Debug, Clone, Default)]
pub struct Store {
    config: Arc<Config>,
    records: VecDeque<ConfigRecord>,
    vms: VmList,
    zones: BTreeMap<ZoneId, ZoneEndpoints>,
    revoked: BTreeSet<KeyDigest>,
}

impl Store {
    /// The configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The VM list.
    pub fn vms(&self) -> &VmList {
        &self.vms
    }

    /// Endpoint lists by availability zone.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneEndpoints> {
        self.zones.values()
    }

    /// Withdrawn keys whose withdrawal may not be in the configuration yet.
    pub fn revoked(&self) -> &BTreeSet<KeyDigest> {
        &self.revoked
    }

    /// Whether a key was withdrawn, in the configuration or directly by an operator.
    pub fn is_withdrawn(&self, key: &KeyDigest) -> bool {
        self.revoked.contains(key) || self.config.key(key).is_some_and(|k| k.withdrawn)
    }

    /// Versions of this store's parts.
    pub fn summary(&self) -> Summary {
        Summary {
            config: self.config.version(),
            vms: self.vms.revision,
            zones: self
                .zones
                .iter()
                .map(|(zone, z)| (zone.clone(), z.revision))
                .collect(),
            revoked: self.revoked.len() as u64,
            revoked_mix: self.revoked.iter().map(xor_words).fold(0, |a, b| a ^ b),
        }
    }

    /// Changes that a VM whose store is at `have` lacks.
    pub fn delta_since(&self, have: &Summary) -> Delta {
        let (config, records) = self.config_since(have.config);
        let own = self.summary();
        let zones = self.zones.values();
        let newer = zones.filter(|z| have.zones.get(&z.zone).is_none_or(|r| *r < z.revision));
        let same_keys = own.revoked == have.revoked && own.revoked_mix == have.revoked_mix;
        Delta {
            config,
            records,
            vms: (self.vms.revision > have.vms).then(|| self.vms.clone()),
            zones: newer.cloned().collect(),
            revoked: if same_keys {
                Vec::new()
            } else {
                self.revoked.iter().copied().collect()
            },
        }
    }

    fn config_since(&self, have: Version) -> (Option<Config>, Vec<ConfigRecord>) {
        if have >= self.config.version() {
            return (None, Vec::new());
        }
        let covered = self.records.front().is_some_and(|r| r.offset <= have.0);
        if !covered {
            return (Some(Config::clone(&self.config)), Vec::new());
        }
        let records = self.records.iter().filter(|r| r.offset >= have.0);
        (None, records.cloned().collect())
    }

    /// Applies the changes that another VM sent; parts that are not newer are ignored.
    pub fn apply(&mut self, delta: Delta) -> StoreChanges {
        let before = self.config.version();
        if let Some(config) = delta.config {
            self.replace_config(config);
        }
        for record in delta.records {
            self.fold_record(record);
        }
        let mut changed = StoreChanges {
            config: self.config.version() > before,
            ..StoreChanges::default()
        };
        if let Some(vms) = delta.vms
            && vms.revision > self.vms.revision
        {
            self.vms = vms;
            changed.vms = true;
        }
        for zone in delta.zones {
            changed.endpoints |= self.set_zone(zone);
        }
        for key in delta.revoked {
            changed.revoked |= self.revoked.insert(key);
        }
        changed
    }

    /// Folds a configuration record if it is the next one. Any other is ignored, since every record
    /// must be folded in order.
    fn fold_record(&mut self, record: ConfigRecord) {
        if record.offset != self.config.version().0 {
            return;
        }
        Arc::make_mut(&mut self.config).fold(record.offset, &record.data);
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    fn replace_config(&mut self, config: Config) {
        if config.version() > self.config.version() {
            self.config = Arc::new(config);
            self.records.clear();
        }
    }

    fn set_zone(&mut self, zone: ZoneEndpoints) -> bool {
        let newer = self
            .zones
            .get(&zone.zone)
            .is_none_or(|z| z.revision < zone.revision);
        if newer {
            self.zones.insert(zone.zone.clone(), zone);
        }
        newer
    }
}

fn xor_words(key: &KeyDigest) -> u64 {
    key.bytes().chunks_exact(8).fold(0, |sum, chunk| {
        let mut word = [0; 8];
        word.copy_from_slice(chunk);
        sum ^ u64::from_le_bytes(word)
    })
}
