//! The weights by which streams are sent to several services, as the platform's records keep them.

use {
    super::{Origins, WeightRecord},
    std::collections::BTreeMap,
    types::{ServiceId, Version},
};

/// The weights of the routes that send streams to several services.
#[derive(Debug, Default)]
pub(crate) struct Weights {
    /// The configuration that they are of.
    version: Version,
    /// A digest for each of these services.
    digests: BTreeMap<ServiceId, u64>,
    /// The digests by which all streams began that can still be resumed, as the platform's records say.
    settled: BTreeMap<ServiceId, u64>,
}

impl Weights {
    /// Whether the weights in force tell at which service a stream began that can be resumed.
    pub(crate) fn is_settled(&self, service: &ServiceId) -> bool {
        let digest = self.digests.get(service);
        digest.is_none() || digest == self.settled.get(service)
    }

    /// The record of a service's weights that should replace `stored`; `is_held` tells whether the stored ones are so old
    /// that no stream of before can be resumed, `is_first` whether there were none before.
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
    /// Sets the weights of a configuration: a digest for each service that streams are sent to by weight.
    pub fn set_weights(&mut self, version: Version, digests: BTreeMap<ServiceId, u64>) {
        self.weights.version = version;
        self.weights.digests = digests;
    }

    /// Sets the weights that the records say all streams began by.
    pub(crate) fn set_settled_weights(&mut self, settled: BTreeMap<ServiceId, u64>) {
        self.weights.settled = settled;
    }
}
