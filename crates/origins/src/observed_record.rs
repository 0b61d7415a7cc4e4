//! Tracks for how long this VM has observed the record of a service unchanged.

use {
    super::{ReleaseAssignment, WeightRecord},
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{Release, Version},
};

/// Time for which a release must be underassigned before buckets are moved to it; longer than the endpoint lists of two VMs
/// may differ.
const REBALANCE_DELAY: Duration = Duration::from_secs(2);

/// Observation times of a service's record.
#[derive(Debug, Default)]
pub(crate) struct ObservedRecord {
    /// The version of each bucket, and when it was first observed.
    buckets: Vec<(u64, Instant)>,
    /// The underassigned releases, and since when they are.
    underassigned: BTreeMap<Release, Instant>,
    /// The configuration version of the weights, and when it was first observed.
    pub(crate) weights: Option<(Version, Instant)>,
}

impl ObservedRecord {
    pub(crate) fn note(&mut self, now: Instant, assignment: &ReleaseAssignment) {
        let last = std::mem::take(&mut self.buckets);
        let buckets = assignment.buckets().iter().enumerate();
        let noted = buckets.map(|(at, bucket)| {
            let known = last.get(at).filter(|known| known.0 == bucket.version);
            known.copied().unwrap_or((bucket.version, now))
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

    /// Records the underassigned releases; returns those that have been so for `REBALANCE_DELAY`.
    pub(crate) fn note_underassigned(
        &mut self,
        now: Instant,
        underassigned: BTreeSet<Release>,
    ) -> BTreeSet<Release> {
        self.underassigned
            .retain(|release, _| underassigned.contains(release));
        for release in underassigned {
            self.underassigned.entry(release).or_insert(now);
        }
        let all = self.underassigned.iter();
        let long = all.filter(|(_, since)| now.since(**since) >= REBALANCE_DELAY);
        long.map(|(release, _)| release.clone()).collect()
    }

    /// Whether a bucket has been observed unchanged for `time`.
    pub(crate) fn is_unchanged(&self, now: Instant, bucket: usize, time: Duration) -> bool {
        let bucket = self.buckets.get(bucket);
        bucket.is_some_and(|(_, since)| now.since(*since) >= time)
    }
}
