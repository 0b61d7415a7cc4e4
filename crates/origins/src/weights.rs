//! Routing weights between services, as recorded on the platform.

use {
    super::{Origins, WeightRecord},
    std::collections::BTreeMap,
    types::{ServiceId, Version},
};

/// The weights of routes that distribute streams over several services.
#[derive(Debug, Default)]
pub(crate) struct Weights {
    /// The configuration version.
    version: Version,
    /// Digest of the weights by service.
    digests: BTreeMap<ServiceId, u64>,
    /// Digests that have been in force for the whole resume window, according to the platform's records.
    settled: BTreeMap<ServiceId, u64>,
}

impl Weights {
    /// Whether the weights in force determine the service of each stream that can still be resumed.
    pub(crate) fn is_settled(&self, service: &ServiceId) -> bool {
        let digest = self.digests.get(service);
        digest.is_none() || digest == self.settled.get(service)
    }

    /// The successor of a service's stored record. `is_held`: the stored weights have been in force for the resume window;
    /// `is_first`: the system has just started for the first time.
    pub(crate) fn next_record(
        &self,
        service: &ServiceId,
        stored: Option<&WeightRecord>,
        (is_held, is_first): (bool, bool),
    ) -> Option<WeightRecord> {
        if let Some(stored) = stored.filter(|s| s.version > self.version) {
            return Some(*stored);
        }
        let digest = *self.digests.get(service)?;
        match stored {
            Some(stored) if stored.digest == digest => Some(WeightRecord {
                settled: stored.settled || is_held,
                ..*stored
            }),
            _ => Some(WeightRecord {
                digest,
                version: self.version,
                settled: is_first && stored.is_none(),
            }),
        }
    }
}

impl Origins {
    /// Sets the digests of a configuration's weights, by service.
    pub fn set_weights(&mut self, version: Version, digests: BTreeMap<ServiceId, u64>) {
        self.weights.version = version;
        self.weights.digests = digests;
    }

    /// Sets the digests that the records mark as settled.
    pub(crate) fn set_settled_weights(&mut self, settled: BTreeMap<ServiceId, u64>) {
        self.weights.settled = settled;
    }
}
