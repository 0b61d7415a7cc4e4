//! Placement with empty caches, new engines, and many VMs acting on the same stale load reports.

mod common;

use {
    clock::Instant,
    common::{complete, id, placer_with_engines, prompt, request, spec, start, zone},
    route::{Load, PeerLoad, PendingPrefill, Placer, Reporter},
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, Urgency},
};

#[test]
fn new_engines_fetch_shared_parts_instead_of_prefilling_them() {
    let local = zone("a");
    let mut placer = placer_with_engines(8);
    let old: Vec<_> = (0..8).map(|at| id(&format!("e{at}"))).collect();
    for at in 8..16 {
        placer.upsert_endpoint(start(), spec(&format!("e{at}"), "a", true));
    }
    let mut now = start();
    let (mut new, mut fetched) = (0, 0);
    for session in 0..60 {
        now = now + Duration::from_millis(20);
        let prompt = prompt(session, session, 9_000);
        let placement = placer
            .place(now, &request(&local, Some(&prompt), 400))
            .unwrap();
        if !old.contains(&placement.id) {
            new += 1;
            let source = placement.kv_source.clone().expect("a source");
            assert!(old.contains(&source), "{source} is new as well");
            fetched += 1;
        }
        complete(&mut placer, now, placement, Duration::from_millis(140));
    }
    assert!(new >= 15, "{new} of 60 were placed at new engines");
    assert_eq!(new, fetched);
}

#[test]
fn preferred_engine_with_a_warm_cache_fetches_nothing() {
    let local = zone("a");
    let mut placer = placer_with_engines(8);
    for session in 0..40 {
        let prompt = prompt(session, session, 9_000);
        let placement = placer.place(start(), &request(&local, Some(&prompt), 400));
        let placement = placement.unwrap();
        assert_eq!(placement.kv_source, None);
        complete(&mut placer, start(), placement, Duration::from_millis(140));
    }
}

#[test]
fn vms_with_the_same_load_reports_spread_over_equal_engines() {
    // Forty VMs place one short request each before new load reports arrive.
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for vm in 0..40 {
        let mut placer = placer_with_engines(40);
        let peer = Reporter::Vm("peer".parse().unwrap());
        for at in 0..40 {
            // Enough streams run for many engines to be reserved.
            let load = Load {
                in_flight: 6,
                pause_sensitive: 6,
                pending_prefill: PendingPrefill::default(),
                memory: 6_000,
                ..Load::default()
            };
            let until = start() + Duration::from_secs(3);
            placer.set_peer_load(&peer, &id(&format!("e{at}")), PeerLoad { load, until });
        }
        let prompt = prompt(vm, vm, 300);
        let local = zone(["a", "b"][vm as usize % 2]);
        let placement = placer.place(start(), &request(&local, Some(&prompt), 150));
        *counts.entry(placement.unwrap().id).or_insert(0) += 1;
    }
    // Twenty engines are reserved: two requests each on average.
    assert!(counts.values().all(|c| *c <= 7), "{counts:?}");
}

/// Places `count` requests of new sessions at engines that prefill `prefilled` tokens of each
/// prompt. Returns the mean ratio of actual to predicted time over the last twenty.
fn prediction_error(placer: &mut Placer, now: &mut Instant, count: u64, prefilled: u64) -> f64 {
    let local = zone("a");
    let mut errors = Vec::new();
    for session in 0..count {
        *now = *now + Duration::from_millis(60);
        let prompt = prompt(session + 1_000 * count, session, 9_000);
        let placement = placer
            .place(*now, &request(&local, Some(&prompt), 400))
            .unwrap();
        let took = Duration::from_millis(86 + prefilled / 66);
        errors.push(took.as_secs_f64() / placement.predicted.as_secs_f64());
        complete(placer, *now, placement, took);
    }
    let last = &errors[errors.len() - 20..];
    last.iter().sum::<f64>() / last.len() as f64
}

#[test]
fn predictions_adapt_to_empty_caches_and_back() {
    let mut placer = placer_with_engines(8);
    let mut now = start();
    // Nothing is cached, and prefill chunks queue behind those of other requests.
    let error = prediction_error(&mut placer, &mut now, 120, 14_000);
    assert!(
        (0.7..1.4).contains(&error),
        "first tokens take {error} times the prediction"
    );
    // With warm caches, predictions return to normal.
    let error = prediction_error(&mut placer, &mut now, 160, 3_600);
    assert!(
        (0.7..1.4).contains(&error),
        "first tokens take {error} times the prediction"
    );
}

#[test]
fn overflow_of_busy_preferred_engines_does_not_pile_up_on_one() {
    // Forty VMs have the same load reports: all engines but two have much pending prefill.
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for vm in 0..40 {
        let mut placer = placer_with_engines(40);
        let peer = Reporter::Vm("peer".parse().unwrap());
        for at in 2..40 {
            let load = Load {
                in_flight: 8,
                pending_prefill: PendingPrefill::new(Urgency(1), 24_000),
                memory: 80_000,
                ..Load::default()
            };
            let until = start() + Duration::from_secs(3);
            placer.set_peer_load(&peer, &id(&format!("e{at}")), PeerLoad { load, until });
        }
        let local = zone(["a", "b"][vm as usize % 2]);
        let prompt = prompt(vm, vm, 9_000);
        let placement = placer.place(start(), &request(&local, Some(&prompt), 400));
        *counts.entry(placement.unwrap().id).or_insert(0) += 1;
    }
    assert!(counts.values().all(|c| *c <= 7), "{counts:?}");
}
