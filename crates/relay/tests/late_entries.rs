//! Heartbeats that the platform does seconds late, when their endpoint has left or started again.

mod common;

use {
    clock::Instant,
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    relay::{Endpoint, FeedChange, FeedKind, Registry, RegistryChange, RouteKind},
    std::{thread, time::Duration},
};

const REQUEST: &str =
    "GET /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 3000\r\nConnection: close\r\n\r\n";
/// Time in which a change of the feed is applied.
const APPLY_TIME: Duration = Duration::from_millis(900);

fn at(ms: u64) -> Instant {
    Instant::from_nanos((1_000_000 + ms) * 1_000_000)
}

fn entry(born: u64, sequence: u64) -> Endpoint {
    Endpoint {
        born,
        sequence: Some(sequence),
        ..endpoint("e1", "127.0.0.1:1".parse().unwrap())
    }
}

fn accepts(registry: &Registry) -> bool {
    registry.accepting(&"e1".parse().unwrap()).is_some()
}

/// A registry whose endpoint was removed at 10 s, after its heartbeat 9.
fn after_removal() -> Registry {
    let mut registry = Registry::default();
    registry.upsert(at(0), entry(5, 1));
    registry.upsert(at(9_000), entry(5, 9));
    let id = "e1".parse().unwrap();
    assert_eq!(registry.remove(at(10_000), &id), RegistryChange::Removed);
    registry
}

/// Requests reached an endpoint that had left, as a heartbeat of before was done after its removal.
#[test]
fn late_heartbeat_does_not_list_a_removed_endpoint() {
    for sequence in [1, 8, 9] {
        let mut registry = after_removal();
        let late = entry(5, sequence);
        assert_eq!(
            registry.upsert(at(12_000), late.clone()),
            RegistryChange::Outdated
        );
        assert_eq!(registry.upsert(at(12_100), late), RegistryChange::None);
        assert!(!accepts(&registry));
        let id = "e1".parse().unwrap();
        registry.remove(at(15_700), &id);
        assert!(registry.list_confirmed(at(60_000)).is_empty());
    }
}

#[test]
fn running_endpoint_whose_entry_was_removed_is_listed_again_at_once() {
    let mut registry = after_removal();
    registry.upsert(at(11_000), entry(5, 8));
    assert_eq!(
        registry.upsert(at(12_000), entry(5, 10)),
        RegistryChange::Added
    );
    assert!(accepts(&registry));
}

#[test]
fn endpoint_that_starts_again_under_its_id_is_listed_at_once() {
    let mut registry = after_removal();
    assert_eq!(
        registry.upsert(at(10_500), entry(6, 1)),
        RegistryChange::Added
    );
    assert_eq!(registry.get(&"e1".parse().unwrap()).unwrap().born, 6);
}

/// A late heartbeat of the start before took the place of the endpoint's new start.
#[test]
fn late_heartbeat_of_an_earlier_start_changes_nothing() {
    let mut registry = after_removal();
    registry.upsert(at(10_500), entry(6, 1));
    let mut late = entry(5, 8);
    late.addr = "127.0.0.1:2".parse().unwrap();
    registry.upsert(at(11_000), late);
    let listed = registry.get(&"e1".parse().unwrap()).unwrap();
    assert_eq!((listed.born, listed.addr.port()), (6, 1));
}

/// The late heartbeat kept the entry of an endpoint that had left beyond its grace period.
#[test]
fn late_heartbeat_does_not_renew_a_lapsed_entry() {
    let mut registry = Registry::default();
    registry.upsert(at(0), entry(5, 9));
    registry.read_failed(at(1_000));
    registry.read_failed(at(6_000));
    registry.read_succeeded(at(6_500), false);
    let id = "e1".parse().unwrap();
    assert_eq!(registry.remove(at(6_500), &id), RegistryChange::Lapsed);
    registry.upsert(at(7_000), entry(5, 8));
    registry.expire(at(8_000));
    assert!(!accepts(&registry));
    registry.upsert(at(8_100), entry(5, 10));
    assert!(accepts(&registry));
}

/// The number of a VM's list is unknown where another VM has read it.
#[test]
fn vm_that_did_not_read_the_platform_itself_waits_for_the_next_heartbeat() {
    let mut registry = Registry::default();
    let mut told = entry(5, 0);
    told.sequence = None;
    registry.upsert(at(0), told);
    registry.remove_now(at(10_000), &"e1".parse().unwrap());
    registry.upsert(at(11_000), entry(5, 8));
    assert!(!accepts(&registry));
    registry.upsert(at(12_200), entry(5, 9));
    assert!(accepts(&registry));
}

/// A VM that had read the platform before knew the number of a much earlier heartbeat.
#[test]
fn number_that_was_known_before_another_vm_read_the_platform_tells_nothing() {
    let told = |registry: &mut Registry| registry.remove_now(at(10_000), &"e1".parse().unwrap());
    let absent =
        |registry: &mut Registry| registry.remove_absent(at(10_000), &"e1".parse().unwrap());
    for remove in [told, absent] {
        let mut registry = Registry::default();
        registry.upsert(at(0), entry(5, 2));
        assert_eq!(remove(&mut registry), RegistryChange::Removed);
        registry.upsert(at(11_000), entry(5, 8));
        assert!(!accepts(&registry));
        registry.upsert(at(12_200), entry(5, 9));
        assert!(accepts(&registry));
    }
}

#[test]
fn word_of_the_vm_that_reads_the_platform_is_believed() {
    let mut registry = after_removal();
    let mut told = entry(5, 0);
    told.sequence = None;
    assert_eq!(registry.upsert(at(11_000), told), RegistryChange::Added);
    // What this VM has read itself isn't forgotten.
    let id = "e1".parse().unwrap();
    registry.remove(at(12_000), &id);
    registry.upsert(at(12_500), entry(5, 9));
    assert!(!accepts(&registry));
}

/// The platform's log need not have heartbeats that change nothing else, and an older copy of the
/// platform has older numbers: an entry that stays is one of a running endpoint.
#[test]
fn outdated_entry_that_stays_listed_is_believed() {
    let mut registry = after_removal();
    registry.upsert(at(11_000), entry(5, 8));
    assert!(registry.list_confirmed(at(20_900)).is_empty());
    let listed = registry.list_confirmed(at(21_000));
    assert_eq!(listed, [("e1".parse().unwrap(), RegistryChange::Added)]);
    assert!(accepts(&registry));
}

/// The removal of an entry is not visible while the platform can't be read.
#[test]
fn time_of_an_outdated_entry_begins_again_after_an_outage() {
    let mut registry = after_removal();
    registry.upsert(at(11_000), entry(5, 8));
    registry.read_failed(at(12_000));
    registry.read_failed(at(20_900));
    assert!(registry.list_confirmed(at(21_500)).is_empty());
    registry.read_succeeded(at(21_600), false);
    assert!(registry.list_confirmed(at(31_500)).is_empty());
    let id = "e1".parse().unwrap();
    assert_eq!(registry.absent_from(&[]), std::slice::from_ref(&id));
    registry.remove(at(31_550), &id);
    assert!(registry.list_confirmed(at(60_000)).is_empty());
}

/// Earlier releases refuse an array that is longer than the ten fields they know.
#[test]
fn entries_that_vms_pass_on_have_no_number() {
    let encoded = rmp_serde::to_vec(&entry(5, 8)).unwrap();
    assert_eq!(encoded[0], 0x9a);
    let read: Endpoint = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!((read.born, read.sequence), (5, None));
}

fn serving() -> FakeEndpoint {
    FakeEndpoint::start(|_, _| {
        let response = format!("{}ok", response_head("q1", "Content-Length: 2\r\n"));
        Script::Send(vec![response.into()], Duration::ZERO)
    })
}

fn serve_many(router: &Router, count: usize) {
    for _ in 0..count {
        let response = router.exchange(REQUEST.as_bytes());
        assert!(response.ends_with("ok"), "{response}");
    }
}

/// The same over sockets: 21 to 40 requests reached the endpoint, until its entry expired.
#[test]
fn endpoint_that_has_left_gets_no_requests_after_a_late_heartbeat() {
    let (leaving, other) = (serving(), serving());
    let beat = |sequence| Endpoint {
        sequence: Some(sequence),
        ..endpoint("e1", leaving.addr)
    };
    let listed = vec![beat(3), endpoint("e2", other.addr)];
    let router = Router::with(RouteKind::Idempotent, listed);
    let push = |change| router.feed.push(FeedKind::Endpoints, change);
    router.wait_for(|| {
        serve_many(&router, 1);
        leaving.count() > 0
    });
    push(FeedChange::Listed(beat(5)));
    thread::sleep(APPLY_TIME);
    push(FeedChange::Unlisted("e1".parse().unwrap()));
    thread::sleep(APPLY_TIME);
    let before = leaving.count();
    push(FeedChange::Listed(beat(4)));
    thread::sleep(APPLY_TIME);
    serve_many(&router, 30);
    assert_eq!(leaving.count(), before);
    // A running endpoint writes again.
    push(FeedChange::Listed(beat(6)));
    router.wait_for(|| {
        serve_many(&router, 1);
        leaving.count() > before
    });
}
