//! Engines, prompts and wishes of the placing tests.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    clock::Instant,
    route::{Choice, Ended, EngineProfile, Place, Placer, Prompt, Wish},
    std::time::Duration,
    types::{EndpointId, PromptPartId, Tier, Tokens, ZoneId},
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

pub(crate) fn place(name: &str, zone_name: &str, cheap: bool) -> Place {
    Place {
        id: id(name),
        zone: zone(zone_name),
        slots: 16,
        cheap,
        born: 1,
    }
}

pub(crate) fn engines(count: usize) -> Placer {
    let profile = EngineProfile::new(Tokens(500_000), 3);
    let mut placer = Placer::new(Some(profile));
    for at in 0..count {
        placer.list(
            start() - Duration::from_secs(60),
            place(&format!("e{at}"), ["a", "b"][at % 2], at >= 2),
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

pub(crate) fn wish<'a>(zone: &'a ZoneId, prompt: Option<&'a Prompt>, pause_ms: u64) -> Wish<'a> {
    Wish {
        zone,
        tier: Tier(1),
        target: Duration::from_millis(600),
        pause: Some(Duration::from_millis(pause_ms)),
        prompt,
        avoid: &[],
    }
}

pub(crate) fn serve(placer: &mut Placer, now: Instant, mut choice: Choice, took: Duration) {
    placer.first(now + took, &mut choice, took);
    placer.ended(now + took, &choice, Ended::Whole);
}
