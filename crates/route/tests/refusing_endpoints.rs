//! Fleets of 8, 60 and 300 VMs before engines of which some refuse most of what they get, in
//! simulated time.

mod common;

use {
    clock::Instant,
    common::{complete, exchange_loads, id, prompt, request, spec, start, zone},
    fastrand::Rng,
    route::{EngineProfile, Load, Placement, PlacementOutcome, Placer},
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, Tokens},
};

const TICK: Duration = Duration::from_millis(10);
/// Times to a response and to a refusal.
const RESPONSE_TIME: Duration = Duration::from_millis(100);
const REFUSAL_TIME: Duration = Duration::from_millis(10);
/// Interval at which VMs learn the loads of the others, which are as old by then.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(800);
/// Share of what a refusing endpoint gets that it refuses.
const REFUSED_SHARE: f64 = 0.9;

struct Fleet {
    vms: Vec<Placer>,
    now: Instant,
    rng: Rng,
    refusing: Vec<EndpointId>,
    ends: Vec<(Instant, usize, Placement, bool)>,
    /// Loads of each VM as last told.
    told: Vec<BTreeMap<EndpointId, Load>>,
    next_gossip: Instant,
    sends: u32,
    refusals: u32,
}

impl Fleet {
    fn new(vms: usize, endpoints: usize, refusing: usize, seed: u64) -> Self {
        let new_placer = |_| {
            let mut placer = Placer::new(Some(EngineProfile::new(Tokens(400_000), 4)));
            for at in 0..endpoints {
                placer.upsert_endpoint(start(), spec(&format!("e{at}"), "a", false));
            }
            placer
        };
        Self {
            vms: (0..vms).map(new_placer).collect(),
            now: start(),
            rng: Rng::with_seed(seed),
            refusing: (0..refusing).map(|at| id(&format!("e{at}"))).collect(),
            ends: Vec::new(),
            told: vec![BTreeMap::new(); vms],
            next_gossip: start(),
            sends: 0,
            refusals: 0,
        }
    }

    fn run(&mut self, time: Duration, rate: f64) {
        let end = self.now + time;
        let per_tick = rate * TICK.as_secs_f64();
        while self.now < end {
            self.now = self.now + TICK;
            self.end_requests();
            if self.next_gossip <= self.now {
                self.next_gossip = self.now + GOSSIP_INTERVAL;
                exchange_loads(&mut self.vms, &mut self.told, (self.now, GOSSIP_INTERVAL));
            }
            let mut expected = per_tick;
            while self.rng.f64() < expected {
                expected -= 1.0;
                self.send();
            }
        }
    }

    fn send(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let zone = zone("a");
        // Half of the prompts share long parts with those of their session.
        let own = self.rng.u64(..);
        let session = self.rng.u64(..4 * self.vms.len() as u64);
        let input = if own.is_multiple_of(2) { 9_000 } else { 800 };
        let prompt = prompt(session, own, input);
        let placement = self.vms[at].place(self.now, &request(&zone, Some(&prompt), 400));
        let placement = placement.unwrap();
        self.sends += 1;
        let refused = self.refusing.contains(&placement.id) && self.rng.f64() < REFUSED_SHARE;
        let time = if refused { REFUSAL_TIME } else { RESPONSE_TIME };
        self.refusals += u32::from(refused);
        self.ends.push((self.now + time, at, placement, refused));
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.ends.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, at, placement, refused) in due {
            if refused {
                self.vms[at].finish(now, &placement, PlacementOutcome::Refused);
            } else {
                complete(&mut self.vms[at], now, placement, Duration::ZERO);
            }
        }
    }
}

/// Endpoints that refused attracted requests, as their queues were short; each VM found out alone.
#[test]
fn endpoints_that_refuse_most_requests_get_few() {
    for (vms, endpoints) in [(8, 25), (60, 90), (300, 240)] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(vms, endpoints, endpoints * 6 / 10, seed);
            let rate = 4.0 * endpoints as f64;
            // The fleet has to learn it within the time in which two thirds of the requests would
            // be refused.
            fleet.run(Duration::from_secs(3), rate);
            (fleet.sends, fleet.refusals) = (0, 0);
            fleet.run(Duration::from_secs(12), rate);
            let share = f64::from(fleet.refusals) / f64::from(fleet.sends);
            assert!(share <= 0.1, "{vms} VMs, seed {seed}: {share:.2} refused");
        }
    }
}

/// An endpoint that had refused requests was not used again.
#[test]
fn endpoints_that_stop_refusing_get_their_part_again() {
    for (vms, endpoints) in [(8, 25), (60, 90), (300, 240)] {
        let mut fleet = Fleet::new(vms, endpoints, endpoints / 2, 1);
        let rate = 4.0 * endpoints as f64;
        fleet.run(Duration::from_secs(6), rate);
        let recovered = std::mem::take(&mut fleet.refusing);
        fleet.run(Duration::from_secs(10), rate);
        let before = fleet.sends;
        let mut there = 0;
        for _ in 0..400 {
            fleet.run(TICK, rate);
            let due = fleet.now + RESPONSE_TIME;
            let new = fleet.ends.iter().filter(|(at, ..)| *at == due);
            there += new.filter(|(_, _, p, _)| recovered.contains(&p.id)).count();
        }
        let share = there as f64 / f64::from(fleet.sends - before);
        assert!(share >= 0.3, "{vms} VMs: {share:.2} of the requests");
    }
}
