//! Placement decisions under the conditions that each rule is designed for.

mod common;

use {
    common::{complete, id, placer_with_engines, prompt, request, spec, start, zone},
    route::{Load, PeerLoad, PendingPrefill, PlacementOutcome, Placer, Reporter},
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, Urgency},
};

#[test]
fn session_stays_where_its_parts_are_cached() {
    let local = zone("a");
    let mut placer = placer_with_engines(8);
    let mut now = start();
    let mut previous: BTreeMap<u64, EndpointId> = BTreeMap::new();
    let (mut stayed, mut all) = (0, 0);
    for round in 0..6 {
        for session in 0..20 {
            now = now + Duration::from_millis(150);
            let prompt = prompt(session, round * 100 + session, 9_000);
            let placement = placer
                .place(now, &request(&local, Some(&prompt), 400))
                .unwrap();
            if let Some(before) = previous.insert(session, placement.id.clone()) {
                all += 1;
                stayed += u32::from(before == placement.id);
            }
            complete(&mut placer, now, placement, Duration::from_millis(140));
        }
    }
    assert!(stayed * 10 >= all * 9, "{stayed} of {all} stayed");
}

#[test]
fn vms_prefer_the_same_endpoint_for_a_session_without_coordination() {
    let (a, b) = (zone("a"), zone("b"));
    let mut agreed = 0;
    for session in 0..50 {
        let prompt = prompt(session, session, 9_000);
        let first = placer_with_engines(8)
            .place(start(), &request(&a, Some(&prompt), 400))
            .unwrap();
        let second = placer_with_engines(8)
            .place(start(), &request(&b, Some(&prompt), 400))
            .unwrap();
        agreed += u32::from(first.id == second.id);
    }
    assert!(agreed >= 45, "{agreed} of 50");
}

#[test]
fn pause_sensitive_streams_and_long_prompts_use_separate_engines() {
    let local = zone("a");
    let mut placer = placer_with_engines(8);
    let now = start();
    let mut reserved = BTreeMap::new();
    for at in 0..12 {
        let short = prompt(at, at, 300);
        let placement = placer
            .place(now, &request(&local, Some(&short), 150))
            .unwrap();
        *reserved.entry(placement.id).or_insert(0) += 1;
    }
    assert!(
        reserved.len() <= 2,
        "streams spread over too many engines: {reserved:?}"
    );
    let mut now = now;
    for at in 0..40 {
        now = now + Duration::from_millis(50);
        let long = prompt(at, at, 9_000);
        let placement = placer
            .place(now, &request(&local, Some(&long), 400))
            .unwrap();
        assert!(
            !reserved.contains_key(&placement.id),
            "{} is reserved",
            placement.id
        );
        complete(&mut placer, now, placement, Duration::from_millis(200));
    }
}

#[test]
fn many_pause_sensitive_streams_do_not_exceed_slots() {
    let local = zone("a");
    let mut placer = placer_with_engines(12);
    let now = start();
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for at in 0..96 {
        let short = prompt(at, at, 300);
        let placement = placer
            .place(now, &request(&local, Some(&short), 150))
            .unwrap();
        *counts.entry(placement.id).or_insert(0) += 1;
    }
    // Twelve engines of 16 slots have twice the required capacity.
    assert!(counts.values().all(|c| *c <= 16), "{counts:?}");
}

#[test]
fn load_of_other_vms_counts_until_it_expires() {
    let local = zone("a");
    let mut placer = placer_with_engines(2);
    let now = start();
    let prompt = prompt(1, 1, 9_000);
    let unloaded = placer_with_engines(2)
        .place(now, &request(&local, Some(&prompt), 400))
        .unwrap();
    let mut load = Load {
        in_flight: 10,
        ..Load::default()
    };
    load.pending_prefill = PendingPrefill::new(Urgency(0), 60_000);
    let until = now + Duration::from_secs(1);
    placer.set_peer_load(
        &Reporter::Vm("vm-2".parse().unwrap()),
        &unloaded.id,
        PeerLoad { load, until },
    );
    let placement = placer
        .place(now, &request(&local, Some(&prompt), 400))
        .unwrap();
    assert_ne!(placement.id, unloaded.id);
    let later = until + Duration::from_millis(1);
    let mut placer = placer_with_engines(2);
    placer.set_peer_load(
        &Reporter::Vm("vm-2".parse().unwrap()),
        &unloaded.id,
        PeerLoad { load, until },
    );
    let placement = placer
        .place(later, &request(&local, Some(&prompt), 400))
        .unwrap();
    assert_eq!(placement.id, unloaded.id, "expired load still counts");
}

#[test]
fn endpoint_with_excess_failures_is_avoided_and_later_retried() {
    let local = zone("a");
    let mut placer = Placer::new(None);
    for name in ["e0", "e1", "e2"] {
        placer.upsert_endpoint(start() - Duration::from_secs(60), spec(name, "a", false));
    }
    let mut now = start();
    let mut round = |placer: &mut Placer, fails: bool| {
        now = now + Duration::from_millis(60);
        let at_once: Vec<_> = (0..9)
            .map(|_| placer.place(now, &request(&local, None, 400)).unwrap())
            .collect();
        let mut used = 0;
        for mut placement in at_once {
            let is_failing = placement.id == id("e1");
            used += u32::from(is_failing);
            placer.record_first_response(now, &mut placement, Duration::from_millis(20));
            let outcome = if is_failing && fails {
                PlacementOutcome::Failed
            } else {
                PlacementOutcome::Completed
            };
            placer.finish(now, &placement, outcome);
        }
        used
    };
    let first: u32 = (0..10).map(|_| round(&mut placer, true)).sum();
    let failing: u32 = (0..50).map(|_| round(&mut placer, true)).sum();
    assert!(first > 0 && failing <= 30, "{first}, then {failing} of 450");
    let again: u32 = (0..150).map(|_| round(&mut placer, false)).sum();
    assert!(
        again >= 100,
        "the recovered endpoint got only {again} requests"
    );
}

#[test]
fn silent_endpoint_is_avoided_within_three_seconds() {
    let local = zone("a");
    let mut placer = Placer::new(None);
    placer.upsert_endpoint(start() - Duration::from_secs(60), spec("e0", "a", false));
    placer.upsert_endpoint(start() - Duration::from_secs(60), spec("e1", "a", false));
    let mut now = start();
    for _ in 0..300 {
        now = now + Duration::from_millis(10);
        let placement = placer.place(now, &request(&local, None, 400)).unwrap();
        if placement.id == id("e1") {
            complete(&mut placer, now, placement, Duration::from_millis(5));
        }
    }
    for _ in 0..50 {
        now = now + Duration::from_millis(10);
        let placement = placer.place(now, &request(&local, None, 400)).unwrap();
        assert_eq!(placement.id, id("e1"));
        complete(&mut placer, now, placement, Duration::from_millis(5));
    }
}

#[test]
fn unreachable_endpoint_is_avoided_unless_it_is_the_last() {
    let local = zone("a");
    let mut placer = Placer::new(None);
    placer.upsert_endpoint(start() - Duration::from_secs(60), spec("e0", "a", false));
    placer.upsert_endpoint(start() - Duration::from_secs(60), spec("e1", "a", false));
    let now = start();
    let placement = placer.place(now, &request(&local, None, 400)).unwrap();
    placer.finish(now, &placement, PlacementOutcome::Unreachable);
    let other = placer.place(now, &request(&local, None, 400)).unwrap();
    assert_ne!(other.id, placement.id);
    placer.finish(now, &other, PlacementOutcome::Unreachable);
    let last = placer.place(now, &request(&local, None, 400));
    assert!(last.is_some(), "the last endpoint was not tried");
}

#[test]
fn finished_requests_leave_no_load_behind() {
    let local = zone("a");
    let mut placer = placer_with_engines(4);
    let now = start();
    let prompts: Vec<_> = (0..40).map(|at| prompt(at, at, 5_000)).collect();
    let placements: Vec<_> = prompts
        .iter()
        .map(|p| placer.place(now, &request(&local, Some(p), 400)).unwrap())
        .collect();
    assert_eq!(placer.in_flight(now), 40);
    placer.remove_endpoint(&id("e3"));
    for mut placement in placements {
        placer.record_first_response(now, &mut placement, Duration::from_millis(100));
        placer.finish(now, &placement, PlacementOutcome::Completed);
    }
    assert_eq!(placer.in_flight(now), 0);
    assert_eq!(placer.own_loads(now).count(), 0);
}

/// A VM that is cut off from all endpoints of a zone would have taken their silence for crashes.
#[test]
fn silence_of_all_endpoints_of_a_zone_is_no_contact() {
    let local = zone("a");
    let mut placer = Placer::new(None);
    for (name, zone) in [("e0", "a"), ("e1", "a"), ("e2", "b")] {
        placer.upsert_endpoint(start(), spec(name, zone, false));
    }
    let hear = |placer: &mut Placer, at, name: &str| {
        let others: Vec<_> = ["e0", "e1", "e2"].map(id).into();
        let avoid: Vec<_> = others.into_iter().filter(|e| *e != id(name)).collect();
        let mut wanted = request(&local, None, 400);
        wanted.avoid = &avoid;
        let placement = placer.place(at, &wanted).unwrap();
        complete(placer, at, placement, Duration::from_millis(10));
    };
    let later = start() + Duration::from_secs(5);
    hear(&mut placer, later, "e2");
    assert!(!placer.has_contact(later, &id("e0")));
    // The only endpoint of its zone is judged by those of other zones.
    hear(&mut placer, later, "e1");
    assert!(placer.has_contact(later, &id("e0")));
    assert!(placer.has_contact(later, &id("e2")));
}
