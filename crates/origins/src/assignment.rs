//! At which release new streams of a service begin, by a hash of the stream.

use {
    super::StreamKey,
    compact_str::{CompactString, ToCompactString},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
    types::Release,
};

/// Number of buckets that streams are hashed into.
pub(crate) const BUCKETS: usize = 64;
/// Difference, in buckets, between a release's share of the buckets and of the capacity from which buckets are moved.
const TOLERANCE: usize = 4;

/// What the streams of one hash bucket begin at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Bucket {
    /// The release at which new streams begin.
    pub(crate) current: Release,
    /// Whether they may begin at any other release as well.
    pub(crate) open: bool,
    /// The releases at which streams may have begun that can still be resumed; `None`: any.
    pub(crate) begun: Option<BTreeSet<Release>>,
    /// Rises with each change of `current` and `open`. It begins with the offset of the first record, so that it is higher than
    /// in an assignment that was lost before.
    pub(crate) changes: u64,
}

/// The releases at which streams of a service begin, by hash bucket. All VMs read it from the platform's log before they begin
/// streams by it, so that a fleet which has restarted knows the releases of the streams from before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "PackedAssignment", into = "PackedAssignment")]
pub struct ReleaseAssignment {
    /// As many as `BUCKETS`.
    buckets: Vec<Bucket>,
}

/// Conditions of a new version of an assignment.
pub(crate) struct AssignmentUpdate<'a> {
    /// Endpoints of the releases at which streams may begin.
    pub(crate) capacity: &'a BTreeMap<Release, u32>,
    /// The releases that buckets of others with capacity are moved to.
    pub(crate) lacking: &'a BTreeSet<Release>,
    /// Whether streams of a release must be able to begin elsewhere.
    pub(crate) must_open: &'a dyn Fn(&Release) -> bool,
    /// Whether the open bucket with this index may be closed.
    pub(crate) may_close: &'a dyn Fn(usize) -> bool,
    /// The releases at which streams may have begun that can still be resumed; `None` if some are unknown.
    pub(crate) counted: Option<&'a BTreeSet<Release>>,
    /// Whether all streams of the bucket with this index that can still be resumed have begun since its last change.
    pub(crate) is_settled: &'a dyn Fn(usize) -> bool,
}

impl ReleaseAssignment {
    /// The first assignment: streams may have begun at the releases `begun`, at any if it is `None`, and begin in proportion
    /// to the capacities from now on. `offset` is that of its record. `None` without capacity.
    pub(crate) fn first(
        capacity: &BTreeMap<Release, u32>,
        begun: Option<&BTreeSet<Release>>,
        offset: u64,
    ) -> Option<Self> {
        let quotas = quotas(capacity);
        let releases = quotas.iter().flat_map(|(r, n)| std::iter::repeat_n(*r, *n));
        let buckets: Vec<_> = releases
            .map(|release| Bucket {
                current: release.clone(),
                open: false,
                begun: begun.map(|b| b.iter().chain([release]).cloned().collect()),
                changes: offset,
            })
            .collect();
        (buckets.len() == BUCKETS).then_some(Self { buckets })
    }

    /// The next version; equal to this one if there is nothing to change.
    pub(crate) fn updated(&self, update: &AssignmentUpdate<'_>) -> Self {
        let mut next = self.clone();
        next.reassign(update);
        for (at, bucket) in next.buckets.iter_mut().enumerate() {
            let must_open = (update.must_open)(&bucket.current);
            if must_open && !bucket.open {
                bucket.open = true;
                bucket.begun = None;
                bucket.changes += 1;
            } else if bucket.open && !must_open && (update.may_close)(at) {
                bucket.open = false;
                bucket.changes += 1;
            }
            let is_unchanged = bucket.changes == self.buckets[at].changes;
            if is_unchanged && !bucket.open && (update.is_settled)(at) {
                bucket.begun = Some([bucket.current.clone()].into());
            }
            if let (Some(begun), Some(counted)) = (&mut bucket.begun, update.counted) {
                begun.retain(|r| *r == bucket.current || counted.contains(r));
            }
        }
        next
    }

    /// Moves the buckets of releases without capacity, and some of the others to the releases that lack buckets.
    fn reassign(&mut self, update: &AssignmentUpdate<'_>) {
        let quotas = quotas(update.capacity);
        let mut counts = self.counts();
        for bucket in &mut self.buckets {
            let surplus = |r: &Release| {
                let count = counts.get(r).copied().unwrap_or(0);
                count as i64 - quotas.get(r).copied().unwrap_or(0) as i64
            };
            let is_gone = !quotas.contains_key(&bucket.current);
            let targets = quotas
                .keys()
                .copied()
                .filter(|r| is_gone || update.lacking.contains(*r) && surplus(r) < 0);
            let Some(target) = targets.min_by_key(|r| surplus(r)) else {
                continue;
            };
            if !is_gone && surplus(&bucket.current) <= 0 {
                continue;
            }
            *counts.entry(bucket.current.clone()).or_default() -= 1;
            *counts.entry(target.clone()).or_default() += 1;
            bucket.current = target.clone();
            bucket.changes += 1;
            if let Some(begun) = &mut bucket.begun {
                begun.insert(target.clone());
            }
        }
    }

    /// The releases that have so few buckets for their capacity that some should be moved to them.
    pub(crate) fn lacking(&self, capacity: &BTreeMap<Release, u32>) -> BTreeSet<Release> {
        let counts = self.counts();
        let lacking = quotas(capacity).into_iter().filter(|(release, quota)| {
            let count = counts.get(*release).copied().unwrap_or(0);
            count == 0 || count + TOLERANCE <= *quota
        });
        lacking.map(|(release, _)| release.clone()).collect()
    }

    /// Number of buckets by release.
    fn counts(&self) -> BTreeMap<Release, usize> {
        let mut counts = BTreeMap::new();
        for bucket in &self.buckets {
            *counts.entry(bucket.current.clone()).or_default() += 1;
        }
        counts
    }

    pub(crate) fn buckets(&self) -> &[Bucket] {
        &self.buckets
    }

    fn bucket(&self, key: &StreamKey) -> &Bucket {
        &self.buckets[key.bucket(BUCKETS)]
    }

    /// The release at which a new stream has to begin; `None`: any.
    pub fn current(&self, key: &StreamKey) -> Option<&Release> {
        let bucket = self.bucket(key);
        (!bucket.open).then_some(&bucket.current)
    }

    /// Whether streams may have begun at a release.
    pub(crate) fn may_have_begun(&self, release: &Release) -> bool {
        let begun = |b: &Bucket| b.begun.as_ref().is_none_or(|b| b.contains(release));
        self.buckets.iter().any(begun)
    }

    /// The release that began a stream, if there is only one at which it may have begun.
    pub fn origin(&self, key: &StreamKey) -> Option<&Release> {
        let begun = self.bucket(key).begun.as_ref()?;
        let release = begun.first()?;
        (begun.len() == 1).then_some(release)
    }
}

impl fmt::Display for ReleaseAssignment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.counts();
        let counts = counts.iter().map(|(r, n)| format!("{r}:{n}"));
        let known = |b: &&Bucket| b.begun.as_ref().is_some_and(|b| b.len() == 1);
        let known = self.buckets.iter().filter(known).count();
        let open = self.buckets.iter().filter(|b| b.open).count();
        let counts: Vec<_> = counts.collect();
        write!(f, "{} ({known} known, {open} open)", counts.join(" "))
    }
}

/// The number of buckets of each release: in proportion to its capacity, and at least one.
fn quotas(capacity: &BTreeMap<Release, u32>) -> BTreeMap<&Release, usize> {
    let total: u64 = capacity.values().map(|c| u64::from(*c)).sum();
    if total == 0 || capacity.len() > BUCKETS {
        return BTreeMap::new();
    }
    let mut quotas: BTreeMap<&Release, usize> = BTreeMap::new();
    // Rounds the sums rather than the shares, so that all buckets are given.
    let (mut sum, mut given) = (0, 0);
    for (release, share) in capacity {
        sum += u64::from(*share);
        let end = ((BUCKETS as u64 * sum + total / 2) / total) as usize;
        quotas.insert(release, end - given);
        given = end;
    }
    while let Some(none) = quotas.iter().find(|(_, n)| **n == 0).map(|(r, _)| *r) {
        if let Some(most) = quotas.values_mut().max() {
            *most -= 1;
        }
        quotas.insert(none, 1);
    }
    quotas
}

/// A bucket with its releases as indexes: current one, whether it is open, those that began streams, changes.
type PackedBucket = (u8, bool, Option<Vec<u8>>, u64);

/// The encoded form.
#[derive(Serialize, Deserialize)]
struct PackedAssignment {
    releases: Vec<Release>,
    buckets: Vec<PackedBucket>,
}

impl From<ReleaseAssignment> for PackedAssignment {
    fn from(assignment: ReleaseAssignment) -> Self {
        let buckets = &assignment.buckets;
        let begun = buckets.iter().flat_map(|b| b.begun.iter().flatten());
        let releases: BTreeSet<_> = buckets.iter().map(|b| &b.current).chain(begun).collect();
        let releases: Vec<Release> = releases.into_iter().cloned().collect();
        let index = |release: &Release| releases.binary_search(release).unwrap_or_default() as u8;
        let packed = buckets.iter().map(|b| {
            let begun = b.begun.as_ref().map(|b| b.iter().map(index).collect());
            (index(&b.current), b.open, begun, b.changes)
        });
        Self {
            buckets: packed.collect(),
            releases,
        }
    }
}

impl TryFrom<PackedAssignment> for ReleaseAssignment {
    type Error = CompactString;

    fn try_from(packed: PackedAssignment) -> Result<Self, Self::Error> {
        let PackedAssignment { releases, buckets } = packed;
        let find = |at: u8| {
            let release = releases.get(usize::from(at)).cloned();
            release.ok_or_else(|| "a release that the assignment doesn't name".to_compact_string())
        };
        let unpack = |(current, open, begun, changes): PackedBucket| {
            let begun = begun.map(|b| b.into_iter().map(find).collect::<Result<_, _>>());
            Ok::<_, Self::Error>(Bucket {
                current: find(current)?,
                open,
                begun: begun.transpose()?,
                changes,
            })
        };
        let buckets = buckets.into_iter().map(unpack);
        let buckets = buckets.collect::<Result<Vec<_>, _>>()?;
        if buckets.len() != BUCKETS {
            return Err("an assignment with another number of buckets".to_compact_string());
        }
        Ok(Self { buckets })
    }
}

#[cfg(test)]
#[path = "assignment_tests.rs"]
mod tests;
