//! Placement among endpoints of several releases.

mod common;

use {
    common::{id, placer_with_engines, prompt, request, spec, start, zone},
    route::{EndpointSpec, Placement, PlacementOutcome, PlacementRequest, Placer},
    std::{collections::BTreeSet, time::Duration},
    types::Release,
};

const FAR_PAUSE_MS: u64 = 10_000;

fn release(name: &str) -> Release {
    name.parse().unwrap()
}

fn spec_of(name: &str, release_name: Option<&str>) -> EndpointSpec {
    EndpointSpec {
        release: release_name.map(release),
        ..spec(name, "a", false)
    }
}

/// Engines with warm caches, by name and release.
fn placer_of(engines: &[(&str, Option<&str>)]) -> Placer {
    let mut placer = placer_with_engines(0);
    for (name, release) in engines {
        let listed = start() - Duration::from_secs(60);
        placer.upsert_endpoint(listed, spec_of(name, *release));
    }
    placer
}

/// Places a request as often as there are endpoints that take it.
fn place_all(placer: &mut Placer, request: &PlacementRequest<'_>) -> Vec<Placement> {
    let mut tried = Vec::new();
    let mut placements = Vec::new();
    loop {
        let request = PlacementRequest {
            avoid: &tried,
            ..*request
        };
        let Some(placement) = placer.place(start(), &request) else {
            return placements;
        };
        placer.finish(start(), &placement, PlacementOutcome::Cancelled);
        tried.push(placement.id.clone());
        placements.push(placement);
    }
}

fn names(placements: &[Placement]) -> Vec<&str> {
    let mut names: Vec<_> = placements.iter().map(|p| p.id.as_str()).collect();
    names.sort_unstable();
    names
}

const MIXED: [(&str, Option<&str>); 6] = [
    ("e0", Some("r1")),
    ("e1", Some("r2")),
    ("e2", None),
    ("e3", Some("r1")),
    ("e4", Some("r2")),
    ("e5", None),
];

// A stream went on at an endpoint of another release, or of none that is known.
#[test]
fn stream_joined_at_another_release() {
    let local = zone("a");
    let (r1, r3) = (release("r1"), release("r3"));
    for session in 0..50 {
        let prompt = prompt(session, session, 9_000);
        let join = PlacementRequest {
            release: Some(&r1),
            ..request(&local, Some(&prompt), FAR_PAUSE_MS)
        };
        let placements = place_all(&mut placer_of(&MIXED), &join);
        assert_eq!(names(&placements), ["e0", "e3"]);
        let unlisted = PlacementRequest {
            release: Some(&r3),
            ..join
        };
        assert!(place_all(&mut placer_of(&MIXED), &unlisted).is_empty());
    }
}

#[test]
fn request_without_a_release_uses_all_endpoints() {
    let local = zone("a");
    let placements = place_all(&mut placer_of(&MIXED), &request(&local, None, 200));
    assert_eq!(names(&placements).len(), MIXED.len());
}

// Engines fetched memory that engines of another release had written.
#[test]
fn engine_memory_fetched_from_another_release() {
    let local = zone("a");
    let releases = [Some("r1"), Some("r2"), None];
    let names: Vec<String> = (0..12).map(|at| format!("e{at}")).collect();
    let numbered = names.iter().map(String::as_str).enumerate();
    let engines: Vec<_> = numbered
        .map(|(at, name)| (name, releases[at % 3]))
        .collect();
    let release_of = |name: &str| engines.iter().find(|(n, _)| *n == name).unwrap().1;
    let mut fetching = BTreeSet::new();
    for session in 0..50 {
        let prompt = prompt(session, session, 9_000);
        let request = request(&local, Some(&prompt), FAR_PAUSE_MS);
        for placement in place_all(&mut placer_of(&engines), &request) {
            let target = release_of(placement.id.as_str());
            let Some(source) = placement.kv_source else {
                continue;
            };
            assert_ne!(source, placement.id);
            assert!(target.is_some(), "engine of unknown release fetches");
            assert_eq!(release_of(source.as_str()), target);
            fetching.insert(placement.id);
        }
    }
    let known = engines.iter().filter(|(_, release)| release.is_some());
    assert_eq!(fetching, known.map(|(name, _)| id(name)).collect());
}

// The forecast counted memory as fetched that no engine of the release has.
#[test]
fn forecast_counts_memory_of_another_release() {
    let local = zone("a");
    let prompt = prompt(1, 1, 9_000);
    let request = request(&local, Some(&prompt), FAR_PAUSE_MS);
    let slowest = |second: Option<&str>| {
        let mut placer = placer_of(&[("e0", Some("r1")), ("e1", second)]);
        let placements = place_all(&mut placer, &request);
        placements.iter().map(|p| p.predicted).max().unwrap()
    };
    let same = slowest(Some("r1"));
    assert!(slowest(Some("r2")) > same);
    assert!(slowest(None) > same);
}

#[test]
fn engines_fetch_memory_while_no_release_is_known() {
    let local = zone("a");
    let prompt = prompt(1, 1, 9_000);
    let request = request(&local, Some(&prompt), FAR_PAUSE_MS);
    let mut placer = placer_of(&[("e0", None), ("e1", None)]);
    let placements = place_all(&mut placer, &request);
    assert!(placements.iter().any(|p| p.kv_source.is_some()));
}

#[test]
fn avoided_release_is_used_if_no_other_endpoint_accepts() {
    let local = zone("a");
    let avoided = [release("r2")];
    let begin = PlacementRequest {
        avoid_releases: &avoided,
        ..request(&local, None, 200)
    };
    let mut placer = placer_of(&MIXED);
    let placements = place_all(&mut placer, &begin);
    assert_eq!(names(&placements[..4]), ["e0", "e2", "e3", "e5"]);
    assert_eq!(names(&placements[4..]), ["e1", "e4"]);
    for closed in ["e0", "e2", "e3", "e5"] {
        placer.remove_endpoint(&id(closed));
    }
    assert_eq!(names(&place_all(&mut placer, &begin)), ["e1", "e4"]);
    // Releases to avoid are no reason to leave the release of a stream.
    let r1 = release("r1");
    let join = PlacementRequest {
        release: Some(&r1),
        ..begin
    };
    assert!(place_all(&mut placer, &join).is_empty());
}

#[test]
fn listed_releases_are_those_of_open_endpoints() {
    let mut placer = placer_of(&MIXED);
    assert!(placer.has_release(&release("r1")));
    assert!(!placer.has_release(&release("r3")));
    // A request in flight keeps the state of an endpoint that takes no others.
    let placement = placer.place(start(), &request(&zone("a"), None, 200));
    assert!(placement.is_some());
    MIXED
        .iter()
        .for_each(|(name, _)| placer.remove_endpoint(&id(name)));
    assert!(!placer.has_release(&release("r1")));
}

// An endpoint that came back with another release under its old start time kept the cache estimate
// and the closed state of its former process.
#[test]
fn new_release_without_a_later_start_keeps_old_state() {
    let local = zone("a");
    let now = start();
    let prompt = prompt(1, 1, 9_000);
    let request = request(&local, Some(&prompt), FAR_PAUSE_MS);
    let relisted = |second: Option<&str>| {
        let mut placer = placer_of(&[("e0", Some("r1"))]);
        let first = placer.place(now, &request).unwrap();
        placer.finish(now, &first, PlacementOutcome::Completed);
        placer.upsert_endpoint(now, spec_of("e0", second));
        placer.place(now, &request).unwrap().predicted
    };
    let restarted = relisted(Some("r2"));
    assert!(restarted > relisted(Some("r1")));
    // A list without releases tells of no restart.
    assert!(restarted > relisted(None));
}
