//! Engines, prompts and placement requests for the placement tests.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    clock::Instant,
    route::{
        EndpointSpec, EngineProfile, Placement, PlacementOutcome, PlacementRequest, Placer, Prompt,
    },
    std::time::Duration,
    types::{EndpointId, PromptPartId, Tokens, Urgency, ZoneId},
};

pub(crate) fn start() -> Instant {
    Instant::from_nanos(1 << 40)
}

pub(crate) fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

pub(crate) fn id(name: &str) -> EndpointId {
    name.parse().unwrap()
}

pub(crate) fn spec(name: &str, zone_name: &str, cheap: bool) -> EndpointSpec {
    EndpointSpec {
        id: id(name),
        zone: zone(zone_name),
        slots: 16,
        cheap,
        started: 1,
        release: None,
    }
}

pub(crate) fn placer_with_engines(count: usize) -> Placer {
    let profile = EngineProfile::new(Tokens(500_000), 3);
    let mut placer = Placer::new(Some(profile));
    for at in 0..count {
        placer.upsert_endpoint(
            start() - Duration::from_secs(60),
            spec(&format!("e{at}"), ["a", "b"][at % 2], at >= 2),
        );
    }
    placer
}

pub(crate) fn prompt(session: u64, own: u64, input: u64) -> Prompt {
    let shared = input * 2 / 3;
    Prompt {
        model: "m".parse().unwrap(),
        input: Tokens(input),
        output: Tokens(100),
        parts: vec![
            (PromptPartId(input), Tokens(shared / 2)),
            (PromptPartId(input * 1_000 + session), Tokens(shared / 2)),
            (PromptPartId(1 << 40 | own), Tokens(input - shared)),
        ],
    }
}

pub(crate) fn request<'a>(
    zone: &'a ZoneId,
    prompt: Option<&'a Prompt>,
    pause_ms: u64,
) -> PlacementRequest<'a> {
    PlacementRequest {
        zone,
        urgency: Urgency(1),
        target: Duration::from_millis(600),
        max_pause: Some(Duration::from_millis(pause_ms)),
        prompt,
        avoid: &[],
        release: None,
        avoid_releases: &[],
    }
}

pub(crate) fn complete(
    placer: &mut Placer,
    now: Instant,
    mut placement: Placement,
    took: Duration,
) {
    placer.record_first_response(now + took, &mut placement, took);
    placer.finish(now + took, &placement, PlacementOutcome::Completed);
}
