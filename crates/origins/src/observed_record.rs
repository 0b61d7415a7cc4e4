//! How long a VM has known what the record of a service says.

use {
    super::{ReleaseAssignment, WeightRecord},
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{Release, Version},
};

/// Time for which a release must have too few buckets before some are moved to it. The lists of two VMs may differ for a
/// shorter time.
const REBALANCE_DELAY: Duration = Duration::from_secs(2);

/// Since when this VM knows the record of a service as it is.
#[derive(Debug, Default)]
pub(crate) struct ObservedRecord {
    /// For each bucket its `changes`, and since when they are that.
    buckets: Vec<(u64, Instant)>,
    /// The releases that have too few buckets, and since when.
    lacking: BTreeMap<Release, Instant>,
    /// The configuration that the weights are of, and since when they are.
    pub(crate) weights: Option<(Version, Instant)>,
}

impl ObservedRecord {
    pub(crate) fn note(&mut self, now: Instant, assignment: &ReleaseAssignment) {
        let last = std::mem::take(&mut self.buckets);
        let buckets = assignment.buckets().iter().enumerate();
        let noted = buckets.map(|(at, bucket)| {
            let known = last.get(at).filter(|known| known.0 == bucket.changes);
            known.copied().unwrap_or((bucket.changes, now))
        });
        self.buckets = noted.collect();
    }

    pub(crate) fn note_weights(&mut self, now: Instant, weights: Option<&WeightRecord>) {
        let known = self.weights;
        self.weights = weights.map(|weights| {
            let known = known.filter(|known| known.0 == weights.version);
            known.unwrap_or((weights.version, now))
        });
    }

    /// Notes the releases that have too few buckets; returns those that have had for long.
    pub(crate) fn note_lacking(
        &mut self,
        now: Instant,
        lacking: BTreeSet<Release>,
    ) -> BTreeSet<Release> {
        self.lacking.retain(|release, _| lacking.contains(release));
        for release in lacking {
            self.lacking.entry(release).or_insert(now);
        }
        let all = self.lacking.iter();
        let long = all.filter(|(_, since)| now.since(**since) >= REBALANCE_DELAY);
        long.map(|(release, _)| release.clone()).collect()
    }

    /// Whether a bucket has been observed unchanged for `time`.
    pub(crate) fn is_unchanged(&self, now: Instant, bucket: usize, time: Duration) -> bool {
        let bucket = self.buckets.get(bucket);
        bucket.is_some_and(|(_, since)| now.since(*since) >= time)
    }
}
