//! The shared state of one VM. Every part of it only moves forward.

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

/// Configuration records kept to bring peers up to date without the whole configuration.
const KEPT_RECORDS: usize = 1024;

/// One record of the configuration's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// The record.
    pub data: CompactString,
}

/// What a VM has, in brief.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Version of the configuration.
    pub config: Version,
    /// Revision of the VM list.
    pub vms: u64,
    /// Revision of each availability zone's endpoint list.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, u64>,
    /// Number of withdrawn keys known besides the configuration.
    #[serde(default)]
    pub revoked: u64,
    /// Exclusive-or over the digests of these keys, to tell sets of one size apart.
    #[serde(default)]
    pub revoked_mix: u64,
}

/// What one VM sends another to bring it up to date.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Whole configuration, when the records do not reach back far enough.
    #[serde(default)]
    pub config: Option<Config>,
    /// Configuration records in order.
    #[serde(default)]
    pub records: Vec<ConfigRecord>,
    /// VM list.
    #[serde(default)]
    pub vms: Option<VmList>,
    /// Endpoint lists.
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

/// Which parts a delta moved forward.
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
    /// Whether any part moved.
    pub fn any(self) -> bool {
        self.config || self.vms || self.endpoints || self.revoked
    }
}

/// The shared state of one VM.
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

    /// Keys that were withdrawn but may not be in the configuration yet.
    pub fn revoked(&self) -> &BTreeSet<KeyDigest> {
        &self.revoked
    }

    /// Whether a key was withdrawn, by configuration or by an operator directly.
    pub fn is_withdrawn(&self, key: &KeyDigest) -> bool {
        self.revoked.contains(key) || self.config.key(key).is_some_and(|k| k.withdrawn)
    }

    /// What this VM has.
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
            revoked_mix: self.revoked.iter().map(mix).fold(0, |a, b| a ^ b),
        }
    }

    /// What a VM with `have` lacks.
    pub fn delta_since(&self, have: &Summary) -> Delta {
        let (config, records) = self.config_since(have.config);
        let mine = self.summary();
        let zones = self.zones.values();
        let newer = zones.filter(|z| have.zones.get(&z.zone).is_none_or(|r| *r < z.revision));
        let same_keys = mine.revoked == have.revoked && mine.revoked_mix == have.revoked_mix;
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
        let reaches = self.records.front().is_some_and(|r| r.offset <= have.0);
        if !reaches {
            return (Some(Config::clone(&self.config)), Vec::new());
        }
        let records = self.records.iter().filter(|r| r.offset >= have.0);
        (None, records.cloned().collect())
    }

    /// Takes in what another VM sent; parts that are not newer are left alone.
    pub fn apply(&mut self, delta: Delta) -> StoreChanges {
        let before = self.config.version();
        if let Some(config) = delta.config {
            self.replace_config(config);
        }
        for record in delta.records {
            self.fold(record);
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

    /// Folds the next configuration record. A record beyond the next offset is left out, since the
    /// fold must see all records in order.
    fn fold(&mut self, record: ConfigRecord) {
        if record.offset != self.config.version().0 {
            return;
        }
        Arc::make_mut(&mut self.config).fold(record.offset, &record.data);
        self.records.push_back(record);
        if self.records.len() > KEPT_RECORDS {
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

fn mix(key: &KeyDigest) -> u64 {
    key.bytes().chunks_exact(8).fold(0, |sum, chunk| {
        let mut word = [0; 8];
        word.copy_from_slice(chunk);
        sum ^ u64::from_le_bytes(word)
    })
}
