//! Placing while caches are empty, engines are new and many VMs act on the same late news.

mod common;

use {
    clock::Stamp,
    common::{engines, id, place, prompt, serve, start, wish, zone},
    route::{Load, PeerLoad, Placer},
    std::{collections::BTreeMap, time::Duration},
    types::EndpointId,
};

#[test]
fn new_engines_fetch_shared_parts_instead_of_reading_them() {
    let home = zone("a");
    let mut placer = engines(8);
    let old: Vec<_> = (0..8).map(|at| id(&format!("e{at}"))).collect();
    for at in 8..16 {
        placer.upsert_endpoint(start(), place(&format!("e{at}"), "a", true));
    }
    let mut now = start();
    let (mut new, mut fetched) = (0, 0);
    for session in 0..60 {
        now = now + Duration::from_millis(20);
        let prompt = prompt(session, session, 9_000);
        let choice = placer.place(now, &wish(&home, Some(&prompt), 400)).unwrap();
        if !old.contains(&choice.id) {
            new += 1;
            let source = choice.kv_source.clone().expect("a source");
            assert!(old.contains(&source), "{source} is as new");
            fetched += 1;
        }
        serve(&mut placer, now, choice, Duration::from_millis(140));
    }
    assert!(new >= 15, "{new} of 60 went to new engines");
    assert_eq!(new, fetched);
}

#[test]
fn home_with_a_settled_cache_fetches_nothing() {
    let home = zone("a");
    let mut placer = engines(8);
    for session in 0..40 {
        let prompt = prompt(session, session, 9_000);
        let choice = placer.place(start(), &wish(&home, Some(&prompt), 400));
        let choice = choice.unwrap();
        assert_eq!(choice.kv_source, None);
        serve(&mut placer, start(), choice, Duration::from_millis(140));
    }
}

#[test]
fn vms_that_act_on_the_same_news_spread_over_equal_engines() {
    // Forty VMs place a short request each within one round of news.
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for vm in 0..40 {
        let mut placer = engines(40);
        let peer = "peer".parse().unwrap();
        for at in 0..40 {
            // Enough streams run to make many engines quiet.
            let load = Load {
                in_flight: 6,
                pause_sensitive: 6,
                pending_prefill: [0; 3],
                memory: 6_000,
            };
            let until = start() + Duration::from_secs(3);
            placer.set_peer_load(&peer, &id(&format!("e{at}")), PeerLoad { load, until });
        }
        let prompt = prompt(vm, vm, 300);
        let home = zone(["a", "b"][vm as usize % 2]);
        let choice = placer.place(start(), &wish(&home, Some(&prompt), 150));
        *counts.entry(choice.unwrap().id).or_insert(0) += 1;
    }
    // Twenty engines are quiet: two requests each on average.
    assert!(counts.values().all(|c| *c <= 7), "{counts:?}");
}

/// Places requests of new sessions at engines that read `read` tokens of each prompt; returns the
/// mean of what came against the forecast, over the last twenty of `count`.
fn error_of_forecasts(placer: &mut Placer, now: &mut Stamp, count: u64, read: u64) -> f64 {
    let home = zone("a");
    let mut errors = Vec::new();
    for session in 0..count {
        *now = *now + Duration::from_millis(60);
        let prompt = prompt(session + 1_000 * count, session, 9_000);
        let choice = placer
            .place(*now, &wish(&home, Some(&prompt), 400))
            .unwrap();
        let took = Duration::from_millis(86 + read / 66);
        errors.push(took.as_secs_f64() / choice.predicted.as_secs_f64());
        serve(placer, *now, choice, took);
    }
    let last = &errors[errors.len() - 20..];
    last.iter().sum::<f64>() / last.len() as f64
}

#[test]
fn forecasts_follow_caches_that_are_empty() {
    let mut placer = engines(8);
    let mut now = start();
    // Nothing is cached, and each chunk waits for another's.
    let error = error_of_forecasts(&mut placer, &mut now, 120, 14_000);
    assert!(
        (0.7..1.4).contains(&error),
        "first tokens come {error} times as late"
    );
    // Once the caches have filled, forecasts are as before.
    let error = error_of_forecasts(&mut placer, &mut now, 160, 3_600);
    assert!(
        (0.7..1.4).contains(&error),
        "first tokens come {error} times as late"
    );
}

#[test]
fn overflow_of_busy_homes_does_not_gather_at_one_engine() {
    // Forty VMs hear the same news: all engines have much to read but two.
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for vm in 0..40 {
        let mut placer = engines(40);
        let peer = "peer".parse().unwrap();
        for at in 2..40 {
            let load = Load {
                in_flight: 8,
                pending_prefill: [0, 24_000, 0],
                memory: 80_000,
                ..Load::default()
            };
            let until = start() + Duration::from_secs(3);
            placer.set_peer_load(&peer, &id(&format!("e{at}")), PeerLoad { load, until });
        }
        let home = zone(["a", "b"][vm as usize % 2]);
        let prompt = prompt(vm, vm, 9_000);
        let choice = placer.place(start(), &wish(&home, Some(&prompt), 400));
        *counts.entry(choice.unwrap().id).or_insert(0) += 1;
    }
    assert!(counts.values().all(|c| *c <= 7), "{counts:?}");
}
