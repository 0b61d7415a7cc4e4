//! Placing: who gets which request, under the loads that each rule answers.

mod common;

use {
    common::{engines, id, place, prompt, serve, start, wish, zone},
    route::{Load, PeerLoad, PlacementOutcome, Placer},
    std::{collections::BTreeMap, time::Duration},
    types::EndpointId,
};

#[test]
fn session_goes_where_its_parts_are() {
    let home = zone("a");
    let mut placer = engines(8);
    let mut now = start();
    let mut places: BTreeMap<u64, EndpointId> = BTreeMap::new();
    let (mut kept, mut all) = (0, 0);
    for round in 0..6 {
        for session in 0..20 {
            now = now + Duration::from_millis(150);
            let prompt = prompt(session, round * 100 + session, 9_000);
            let choice = placer.place(now, &wish(&home, Some(&prompt), 400)).unwrap();
            if let Some(before) = places.insert(session, choice.id.clone()) {
                all += 1;
                kept += u32::from(before == choice.id);
            }
            serve(&mut placer, now, choice, Duration::from_millis(140));
        }
    }
    assert!(kept * 10 >= all * 9, "{kept} of {all} stayed");
}

#[test]
fn vms_agree_on_the_home_of_a_session_without_exchange() {
    let (a, b) = (zone("a"), zone("b"));
    let mut agreed = 0;
    for session in 0..50 {
        let prompt = prompt(session, session, 9_000);
        let first = engines(8)
            .place(start(), &wish(&a, Some(&prompt), 400))
            .unwrap();
        let second = engines(8)
            .place(start(), &wish(&b, Some(&prompt), 400))
            .unwrap();
        agreed += u32::from(first.id == second.id);
    }
    assert!(agreed >= 45, "{agreed} of 50");
}

#[test]
fn short_pauses_and_long_prompts_keep_apart() {
    let home = zone("a");
    let mut placer = engines(8);
    let now = start();
    let mut quiet = BTreeMap::new();
    for at in 0..12 {
        let short = prompt(at, at, 300);
        let choice = placer.place(now, &wish(&home, Some(&short), 150)).unwrap();
        *quiet.entry(choice.id).or_insert(0) += 1;
    }
    assert!(quiet.len() <= 2, "streams gather: {quiet:?}");
    let mut now = now;
    for at in 0..40 {
        now = now + Duration::from_millis(50);
        let long = prompt(at, at, 9_000);
        let choice = placer.place(now, &wish(&home, Some(&long), 400)).unwrap();
        assert!(!quiet.contains_key(&choice.id), "{} is quiet", choice.id);
        serve(&mut placer, now, choice, Duration::from_millis(200));
    }
}

#[test]
fn many_delicate_streams_find_slots() {
    let home = zone("a");
    let mut placer = engines(12);
    let now = start();
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for at in 0..96 {
        let short = prompt(at, at, 300);
        let choice = placer.place(now, &wish(&home, Some(&short), 150)).unwrap();
        *counts.entry(choice.id).or_insert(0) += 1;
    }
    // Twelve engines of 16 slots have twice the room that is needed.
    assert!(counts.values().all(|c| *c <= 16), "{counts:?}");
}

#[test]
fn load_of_other_vms_counts() {
    let home = zone("a");
    let mut placer = engines(2);
    let now = start();
    let prompt = prompt(1, 1, 9_000);
    let alone = engines(2)
        .place(now, &wish(&home, Some(&prompt), 400))
        .unwrap();
    let mut load = Load {
        in_flight: 10,
        ..Load::default()
    };
    load.pending_prefill[0] = 60_000;
    let until = now + Duration::from_secs(1);
    placer.set_peer_load(
        &"vm-2".parse().unwrap(),
        &alone.id,
        PeerLoad { load, until },
    );
    let choice = placer.place(now, &wish(&home, Some(&prompt), 400)).unwrap();
    assert_ne!(choice.id, alone.id);
    let later = until + Duration::from_millis(1);
    let mut placer = engines(2);
    placer.set_peer_load(
        &"vm-2".parse().unwrap(),
        &alone.id,
        PeerLoad { load, until },
    );
    let choice = placer
        .place(later, &wish(&home, Some(&prompt), 400))
        .unwrap();
    assert_eq!(choice.id, alone.id, "old news do not count");
}

#[test]
fn endpoint_that_fails_more_than_the_others_is_avoided_and_tried_again() {
    let home = zone("a");
    let mut placer = Placer::new(None);
    for name in ["e0", "e1", "e2"] {
        placer.upsert_endpoint(start() - Duration::from_secs(60), place(name, "a", false));
    }
    let mut now = start();
    let mut round = |placer: &mut Placer, fails: bool| {
        now = now + Duration::from_millis(60);
        let at_once: Vec<_> = (0..9)
            .map(|_| placer.place(now, &wish(&home, None, 400)).unwrap())
            .collect();
        let mut used = 0;
        for mut choice in at_once {
            let bad = choice.id == id("e1");
            used += u32::from(bad);
            placer.first_response(now, &mut choice, Duration::from_millis(20));
            let how = if bad && fails {
                PlacementOutcome::Failed
            } else {
                PlacementOutcome::Completed
            };
            placer.finish(now, &choice, how);
        }
        used
    };
    let first: u32 = (0..10).map(|_| round(&mut placer, true)).sum();
    let failing: u32 = (0..50).map(|_| round(&mut placer, true)).sum();
    assert!(first > 0 && failing <= 30, "{first}, then {failing} of 450");
    let again: u32 = (0..150).map(|_| round(&mut placer, false)).sum();
    assert!(again >= 100, "a mended endpoint serves again: {again}");
}

#[test]
fn silent_endpoint_is_left_within_two_seconds() {
    let home = zone("a");
    let mut placer = Placer::new(None);
    placer.upsert_endpoint(start() - Duration::from_secs(60), place("e0", "a", false));
    placer.upsert_endpoint(start() - Duration::from_secs(60), place("e1", "a", false));
    let mut now = start();
    for _ in 0..300 {
        now = now + Duration::from_millis(10);
        let choice = placer.place(now, &wish(&home, None, 400)).unwrap();
        if choice.id == id("e1") {
            serve(&mut placer, now, choice, Duration::from_millis(5));
        }
    }
    for _ in 0..50 {
        now = now + Duration::from_millis(10);
        let choice = placer.place(now, &wish(&home, None, 400)).unwrap();
        assert_eq!(choice.id, id("e1"));
        serve(&mut placer, now, choice, Duration::from_millis(5));
    }
}

#[test]
fn unreachable_endpoint_is_passed_over() {
    let home = zone("a");
    let mut placer = Placer::new(None);
    placer.upsert_endpoint(start() - Duration::from_secs(60), place("e0", "a", false));
    placer.upsert_endpoint(start() - Duration::from_secs(60), place("e1", "a", false));
    let now = start();
    let choice = placer.place(now, &wish(&home, None, 400)).unwrap();
    placer.finish(now, &choice, PlacementOutcome::Unreachable);
    let other = placer.place(now, &wish(&home, None, 400)).unwrap();
    assert_ne!(other.id, choice.id);
    placer.finish(now, &other, PlacementOutcome::Unreachable);
    let last = placer.place(now, &wish(&home, None, 400));
    assert!(last.is_some(), "with no other left it is tried");
}

#[test]
fn every_place_is_given_back() {
    let home = zone("a");
    let mut placer = engines(4);
    let now = start();
    let prompts: Vec<_> = (0..40).map(|at| prompt(at, at, 5_000)).collect();
    let choices: Vec<_> = prompts
        .iter()
        .map(|p| placer.place(now, &wish(&home, Some(p), 400)).unwrap())
        .collect();
    assert_eq!(placer.in_flight(now), 40);
    placer.remove_endpoint(&id("e3"));
    for mut choice in choices {
        placer.first_response(now, &mut choice, Duration::from_millis(100));
        placer.finish(now, &choice, PlacementOutcome::Completed);
    }
    assert_eq!(placer.in_flight(now), 0);
    assert_eq!(placer.own_loads().count(), 0);
}
