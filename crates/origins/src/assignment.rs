//! Assignment of new streams to releases by hash bucket.

use {
    super::{Binding, StreamKey},
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

/// The releases of one hash bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Bucket {
    /// The release that serves new streams.
    pub(crate) current: Release,
    /// Whether other releases may serve them as well.
    pub(crate) open: bool,
    /// The possible origins of streams that can still be resumed; `None`: any release.
    pub(crate) origins: Option<BTreeSet<Release>>,
    /// With several possible origins, the one of the streams that aren't in the log of origins; `None`: unknown.
    pub(crate) unlogged: Option<Release>,
    /// Version of `current` and `open`. It starts at the log offset of the first record, so that versions of an assignment that
    /// was lost aren't reused.
    pub(crate) version: u64,
}

impl Bucket {
    /// The only possible origin.
    fn single_origin(&self) -> Option<&Release> {
        let origins = self.origins.as_ref()?;
        let release = origins.first()?;
        (origins.len() == 1).then_some(release)
    }

    /// Notes that streams will start at other releases than the only origin so far. All VMs have to log them.
    fn note_unlogged(&mut self, logging: Binding) {
        if let Some(origin) = self.single_origin().cloned() {
            self.unlogged = (logging == Binding::Bound).then_some(origin);
        }
    }
}

/// What the records tell of a stream's origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordedOrigin<'a> {
    /// All streams of its bucket started at this release.
    Only(&'a Release),
    /// It started at this release if it isn't logged.
    Unlogged(&'a Release),
    /// Unknown if it isn't logged.
    Unknown,
}

/// Maps the streams of a service to releases by hash bucket. VMs apply only versions that are durable in the platform's log, so
/// that after a restart of the whole fleet the log determines the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "PackedAssignment", into = "PackedAssignment")]
pub struct ReleaseAssignment {
    /// Always `BUCKETS` of them.
    buckets: Vec<Bucket>,
}

/// Inputs of the next version of an assignment.
pub(crate) struct AssignmentUpdate<'a> {
    /// Number of endpoints that accept new streams, by release.
    pub(crate) capacity: &'a BTreeMap<Release, u32>,
    /// The releases that may take buckets from other releases with capacity.
    pub(crate) underassigned: &'a BTreeSet<Release>,
    /// The releases with listed endpoints.
    pub(crate) listed: &'a BTreeSet<Release>,
    /// Whether all VMs log the streams that start at another release than the one of unlogged streams.
    pub(crate) logging: Binding,
    /// Whether buckets of a release must be open.
    pub(crate) must_open: &'a dyn Fn(&Release) -> bool,
    /// Whether the open bucket with this index may be closed.
    pub(crate) may_close: &'a dyn Fn(usize) -> bool,
    /// The releases that were listed in the resume window; `None` if some are unknown.
    pub(crate) counted: Option<&'a BTreeSet<Release>>,
    /// Whether the resume window has passed since the last change of the bucket with this index.
    pub(crate) is_settled: &'a dyn Fn(usize) -> bool,
}

impl ReleaseAssignment {
    /// The first assignment, in proportion to the capacities. `origins` are the possible origins of earlier streams, `None` for any
    /// release, and `offset` is the log offset of the record. `None` without capacity.
    pub(crate) fn first(
        capacity: &BTreeMap<Release, u32>,
        origins: Option<&BTreeSet<Release>>,
        offset: u64,
    ) -> Option<Self> {
        let quotas = quotas(capacity);
        let releases = quotas.iter().flat_map(|(r, n)| std::iter::repeat_n(*r, *n));
        let buckets: Vec<_> = releases
            .map(|release| Bucket {
                current: release.clone(),
                open: false,
                origins: origins.map(|o| o.iter().chain([release]).cloned().collect()),
                unlogged: None,
                version: offset,
            })
            .collect();
        (buckets.len() == BUCKETS).then_some(Self { buckets })
    }

    /// The next version; equal to this one if nothing changes.
    pub(crate) fn updated(&self, update: &AssignmentUpdate<'_>) -> Self {
        let mut next = self.clone();
        next.reassign(update);
        for (at, bucket) in next.buckets.iter_mut().enumerate() {
            let must_open = (update.must_open)(&bucket.current);
            if must_open && !bucket.open {
                bucket.open = true;
                bucket.note_unlogged(update.logging);
                bucket.origins = None;
                bucket.version += 1;
            } else if bucket.open && !must_open && (update.may_close)(at) {
                bucket.open = false;
                bucket.version += 1;
            }
            let is_unchanged = bucket.version == self.buckets[at].version;
            if is_unchanged && !bucket.open && (update.is_settled)(at) {
                bucket.origins = Some([bucket.current.clone()].into());
            }
            if let (Some(origins), Some(counted)) = (&mut bucket.origins, update.counted) {
                origins.retain(|r| *r == bucket.current || counted.contains(r));
            }
            let is_usable = |r: &Release| update.listed.contains(r);
            let is_needed = bucket.single_origin().is_none() && update.logging != Binding::Open;
            bucket.unlogged = bucket.unlogged.take().filter(|r| is_needed && is_usable(r));
        }
        next
    }

    /// Moves all buckets of releases without capacity, and surplus buckets to underassigned releases.
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
                .filter(|r| is_gone || update.underassigned.contains(*r) && surplus(r) < 0);
            let Some(target) = targets.min_by_key(|r| surplus(r)) else {
                continue;
            };
            if !is_gone && surplus(&bucket.current) <= 0 {
                continue;
            }
            *counts.entry(bucket.current.clone()).or_default() -= 1;
            *counts.entry(target.clone()).or_default() += 1;
            bucket.current = target.clone();
            bucket.version += 1;
            bucket.note_unlogged(update.logging);
            if let Some(origins) = &mut bucket.origins {
                origins.insert(target.clone());
            }
        }
    }

    /// The releases whose number of buckets is too small for their capacity.
    pub(crate) fn underassigned(&self, capacity: &BTreeMap<Release, u32>) -> BTreeSet<Release> {
        let counts = self.counts();
        let underassigned = quotas(capacity).into_iter().filter(|(release, quota)| {
            let count = counts.get(*release).copied().unwrap_or(0);
            count == 0 || count + TOLERANCE <= *quota
        });
        underassigned.map(|(release, _)| release.clone()).collect()
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

    /// The release that has to serve a new stream; `None`: any.
    pub fn current(&self, key: &StreamKey) -> Option<&Release> {
        let bucket = self.bucket(key);
        (!bucket.open).then_some(&bucket.current)
    }

    /// Whether a release is a possible origin in any bucket.
    pub(crate) fn may_be_origin(&self, release: &Release) -> bool {
        let origins = |b: &Bucket| b.origins.as_ref().is_none_or(|b| b.contains(release));
        self.buckets.iter().any(origins)
    }

    /// What the assignment tells of a stream's origin.
    pub(crate) fn origin(&self, key: &StreamKey) -> RecordedOrigin<'_> {
        let bucket = self.bucket(key);
        if let Some(release) = bucket.single_origin() {
            return RecordedOrigin::Only(release);
        }
        let unlogged = bucket.unlogged.as_ref();
        unlogged.map_or(RecordedOrigin::Unknown, RecordedOrigin::Unlogged)
    }
}

impl fmt::Display for ReleaseAssignment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.counts();
        let counts = counts.iter().map(|(r, n)| format!("{r}:{n}"));
        let count = |is: &dyn Fn(&Bucket) -> bool| self.buckets.iter().filter(|b| is(b)).count();
        let known = count(&|b| b.single_origin().is_some());
        let logged = count(&|b| b.unlogged.is_some());
        let open = count(&|b| b.open);
        let counts: Vec<_> = counts.collect();
        let counts = counts.join(" ");
        write!(f, "{counts} ({known} known, {logged} logged, {open} open)")
    }
}

/// The number of buckets of each release: in proportion to its capacity, and at least one.
fn quotas(capacity: &BTreeMap<Release, u32>) -> BTreeMap<&Release, usize> {
    let total: u64 = capacity.values().map(|c| u64::from(*c)).sum();
    if total == 0 || capacity.len() > BUCKETS {
        return BTreeMap::new();
    }
    let mut quotas: BTreeMap<&Release, usize> = BTreeMap::new();
    // Rounds the cumulative shares, so that the quotas add up to all buckets.
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

/// A bucket with releases as indexes: the current one, whether it is open, the possible origins, and the version.
type PackedBucket = (u8, bool, Option<Vec<u8>>, u64);

/// The encoded form.
#[derive(Serialize, Deserialize)]
struct PackedAssignment {
    releases: Vec<Release>,
    buckets: Vec<PackedBucket>,
    /// The releases of unlogged streams, by bucket; empty if there are none. VMs of earlier releases of the router neither read
    /// nor write it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    unlogged: Vec<Option<u8>>,
}

impl From<ReleaseAssignment> for PackedAssignment {
    fn from(assignment: ReleaseAssignment) -> Self {
        let buckets = &assignment.buckets;
        let origins = buckets.iter().flat_map(|b| b.origins.iter().flatten());
        let origins = origins.chain(buckets.iter().filter_map(|b| b.unlogged.as_ref()));
        let releases: BTreeSet<_> = buckets.iter().map(|b| &b.current).chain(origins).collect();
        let releases: Vec<Release> = releases.into_iter().cloned().collect();
        let index = |release: &Release| releases.binary_search(release).unwrap_or_default() as u8;
        let packed = buckets.iter().map(|b| {
            let origins = b.origins.as_ref().map(|b| b.iter().map(index).collect());
            (index(&b.current), b.open, origins, b.version)
        });
        let has_unlogged = buckets.iter().any(|b| b.unlogged.is_some());
        let unlogged = buckets.iter().map(|b| b.unlogged.as_ref().map(index));
        Self {
            buckets: packed.collect(),
            unlogged: unlogged.filter(|_| has_unlogged).collect(),
            releases,
        }
    }
}

impl TryFrom<PackedAssignment> for ReleaseAssignment {
    type Error = CompactString;

    fn try_from(packed: PackedAssignment) -> Result<Self, Self::Error> {
        let PackedAssignment {
            releases,
            buckets,
            unlogged,
        } = packed;
        let find = |at: u8| {
            let release = releases.get(usize::from(at)).cloned();
            release.ok_or_else(|| "a release that the assignment doesn't name".to_compact_string())
        };
        let unpack = |(current, open, origins, version): PackedBucket| {
            let origins = origins.map(|b| b.into_iter().map(find).collect::<Result<_, _>>());
            Ok::<_, Self::Error>(Bucket {
                current: find(current)?,
                open,
                origins: origins.transpose()?,
                unlogged: None,
                version,
            })
        };
        let buckets = buckets.into_iter().map(unpack);
        let mut buckets = buckets.collect::<Result<Vec<_>, _>>()?;
        for (bucket, unlogged) in buckets.iter_mut().zip(unlogged) {
            bucket.unlogged = unlogged.map(find).transpose()?;
        }
        if buckets.len() != BUCKETS {
            return Err("an assignment with another number of buckets".to_compact_string());
        }
        Ok(Self { buckets })
    }
}

#[cfg(test)]
#[path = "assignment_tests.rs"]
mod tests;
