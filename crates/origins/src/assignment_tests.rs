//! Versions of an assignment as the capacity of the releases changes.

use {
    super::{AssignmentUpdate, BUCKETS, ReleaseAssignment},
    quickcheck::quickcheck,
    std::collections::{BTreeMap, BTreeSet},
    types::Release,
};

fn release(number: u32) -> Release {
    format!("r{number}").parse().unwrap()
}

/// Number of endpoints of the releases r1, r2 and so on; releases without endpoints are absent.
fn capacity(endpoints: &[u32]) -> BTreeMap<Release, u32> {
    let numbered = (1..).zip(endpoints).filter(|(_, n)| **n > 0);
    numbered.map(|(number, n)| (release(number), *n)).collect()
}

/// The assignment of a new system.
fn first(endpoints: &[u32]) -> ReleaseAssignment {
    ReleaseAssignment::first(&capacity(endpoints), Some(&BTreeSet::new()), 0).unwrap()
}

fn update(assignment: &ReleaseAssignment, endpoints: &[u32]) -> ReleaseAssignment {
    let capacity = capacity(endpoints);
    assignment.updated(&AssignmentUpdate {
        underassigned: &assignment.underassigned(&capacity),
        capacity: &capacity,
        must_open: &|_| false,
        may_close: &|_| false,
        counted: None,
        is_settled: &|_| false,
    })
}

fn count(assignment: &ReleaseAssignment, number: u32) -> usize {
    let counts = assignment.counts();
    counts.get(&release(number)).copied().unwrap_or(0)
}

fn known(assignment: &ReleaseAssignment) -> usize {
    let known = |b: &&super::Bucket| b.origins.as_ref().is_some_and(|b| b.len() == 1);
    assignment.buckets().iter().filter(known).count()
}

/// Guards against a release with a small share of the endpoints that gets no streams.
#[test]
fn releases_get_buckets_in_proportion_to_their_endpoints() {
    let even = first(&[2, 2]);
    assert_eq!((count(&even, 1), count(&even, 2)), (32, 32));
    let new = first(&[17, 1]);
    assert!((2..=4).contains(&count(&new, 2)), "{new}");
    assert!(count(&first(&[200, 1]), 2) >= 1);
}

/// Guards against moves of more buckets than necessary, each of which makes origins ambiguous.
#[test]
fn only_the_buckets_that_a_release_lacks_are_moved() {
    let one = first(&[4]);
    let two = update(&one, &[4, 4]);
    assert_eq!((count(&two, 1), count(&two, 2)), (32, 32));
    assert_eq!(known(&two), 32);
    // Small differences move none.
    assert_eq!(update(&two, &[20, 21]), two);
    // The buckets of a release that is gone are given to those that are left.
    let left = update(&two, &[0, 4]);
    assert_eq!(count(&left, 2), BUCKETS);
    assert_eq!(known(&left), 0);
}

/// Guards against a bucket that drops its old release while streams of it can still be resumed.
#[test]
fn moved_bucket_is_known_again_once_it_has_settled() {
    let two = update(&first(&[4]), &[4, 4]);
    let capacity = capacity(&[4, 4]);
    let settle = |is_settled: &dyn Fn(usize) -> bool| {
        two.updated(&AssignmentUpdate {
            capacity: &capacity,
            underassigned: &BTreeSet::new(),
            must_open: &|_| false,
            may_close: &|_| false,
            counted: None,
            is_settled,
        })
    };
    assert_eq!(settle(&|_| false), two);
    assert_eq!(known(&settle(&|_| true)), BUCKETS);
}

/// Guards against a single origin for an open bucket, whose streams may have started anywhere.
#[test]
fn streams_of_open_buckets_are_of_unknown_release() {
    let two = first(&[4, 4]);
    let capacity = capacity(&[4, 4]);
    let condition = |must_open: bool, may_close: bool, is_settled: bool| {
        move |assignment: &ReleaseAssignment| {
            assignment.updated(&AssignmentUpdate {
                capacity: &capacity.clone(),
                underassigned: &BTreeSet::new(),
                must_open: &|r| must_open && *r == release(2),
                may_close: &|_| may_close,
                counted: None,
                is_settled: &|_| is_settled,
            })
        }
    };
    let open = condition.clone()(true, true, true)(&two);
    assert_eq!(known(&open), 32);
    assert_eq!(condition.clone()(false, false, true)(&open), open);
    let closed = condition.clone()(false, true, true)(&open);
    assert_eq!((known(&closed), closed == open), (32, false));
    assert_eq!(known(&condition(false, true, true)(&closed)), BUCKETS);
}

/// Guards against possible origins that outlive the resume window of a removed release.
#[test]
fn release_whose_streams_have_ended_is_forgotten() {
    let left = update(&update(&first(&[4]), &[4, 4]), &[0, 4]);
    let capacity = capacity(&[0, 4]);
    let settled = left.updated(&AssignmentUpdate {
        capacity: &capacity,
        underassigned: &BTreeSet::new(),
        must_open: &|_| false,
        may_close: &|_| false,
        counted: Some(&[release(2)].into()),
        is_settled: &|_| false,
    });
    assert_eq!((known(&left), known(&settled)), (0, BUCKETS));
}

quickcheck! {
    /// Guards against lost or duplicate buckets, and against an encoding that loses something.
    fn all_buckets_are_given_and_encoded(changes: Vec<Vec<u8>>) -> bool {
        let mut assignment = first(&[3, 2]);
        for endpoints in changes {
            let endpoints: Vec<_> = endpoints.iter().take(20).map(|n| u32::from(*n)).collect();
            assignment = update(&assignment, &endpoints);
            let bytes = rmp_serde::to_vec_named(&assignment).unwrap();
            let read: ReleaseAssignment = rmp_serde::from_slice(&bytes).unwrap();
            let total: usize = assignment.counts().values().sum();
            let gone = assignment.counts();
            let left = capacity(&endpoints);
            let is_served = left.is_empty() || gone.keys().all(|r| left.contains_key(r));
            if read != assignment || total != BUCKETS || !is_served {
                return false;
            }
        }
        true
    }

    /// Guards against a panic on an undecodable record.
    fn garbage_is_refused(bytes: Vec<u8>) -> bool {
        rmp_serde::from_slice::<ReleaseAssignment>(&bytes).is_err()
    }
}
