//! Fake engines in simulated time, for tests of the pickers.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    clock::Instant,
    route::{Candidate, Picker, RequestOutcome, Requirements},
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, Tier, Tokens},
};

/// Resolution of the simulation.
const TICK: Duration = Duration::from_millis(1);

/// A fake engine whose steps take longer the more requests it runs.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) step_ms: f64,
    pub(crate) step_per_request_ms: f64,
    /// Factor on the step time.
    pub(crate) slowdown: f64,
    /// Whether requests fail at once.
    pub(crate) crashed: bool,
    in_flight: u32,
}

struct Run {
    id: EndpointId,
    requirements: Requirements,
    arrived: Instant,
    tokens: u32,
    generated: u32,
    last: Instant,
    started: Instant,
    /// Generated fraction of the next token.
    fraction: f64,
}

/// Times of a completed response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Response {
    pub(crate) arrived: Duration,
    pub(crate) inter_token: Duration,
    pub(crate) waited: Duration,
}

/// Engines, running requests, and requests waiting in order of arrival.
pub(crate) struct Sim {
    pub(crate) picker: Box<dyn Picker>,
    pub(crate) engines: BTreeMap<EndpointId, Engine>,
    pub(crate) now: Instant,
    pub(crate) responses: Vec<Response>,
    pub(crate) failures: u64,
    pub(crate) waiting: Vec<(Instant, Requirements, u32)>,
    running: Vec<Run>,
    rng: fastrand::Rng,
}

pub(crate) fn id(index: usize) -> EndpointId {
    format!("e{index:02}").parse().unwrap()
}

pub(crate) fn candidate(index: usize, cheap: bool, slots: u32) -> Candidate {
    Candidate {
        id: id(index),
        addr: "127.0.0.1:1".parse().unwrap(),
        cheap,
        slots,
    }
}

pub(crate) fn requirements(tier: u8, idempotent: bool) -> Requirements {
    Requirements {
        tier: Tier(tier),
        idempotent,
        prefix_hash: 0,
        inter_token: Duration::from_millis(20),
        avoid: Vec::new(),
    }
}

impl Sim {
    pub(crate) fn new(picker: impl Picker + 'static, candidates: &[Candidate], seed: u64) -> Self {
        let mut picker: Box<dyn Picker> = Box::new(picker);
        let now = Instant::from_nanos(1_000_000_000);
        picker.set_candidates(now, candidates);
        let engine = Engine {
            step_ms: 8.0,
            step_per_request_ms: 0.5,
            slowdown: 1.0,
            crashed: false,
            in_flight: 0,
        };
        let engines = candidates.iter().map(|c| (c.id.clone(), engine.clone()));
        Self {
            picker,
            engines: engines.collect(),
            now,
            responses: Vec::new(),
            failures: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub(crate) fn engine(&mut self, index: usize) -> &mut Engine {
        self.engines.get_mut(&id(index)).unwrap()
    }

    pub(crate) fn in_flight(&self, index: usize) -> u32 {
        self.engines[&id(index)].in_flight
    }

    fn time(&self) -> Duration {
        self.now.since(Instant::from_nanos(1_000_000_000))
    }

    /// Runs for `span` with `rate` arrivals per second, whose responses have 20 to 60 tokens.
    pub(crate) fn run(&mut self, span: Duration, rate: f64, requirements: &Requirements) {
        let end = self.now + span;
        while self.now < end {
            if self.rng.f64() < rate * TICK.as_secs_f64() {
                let mut requirements = requirements.clone();
                requirements.prefix_hash = self.rng.u64(1..=16);
                let tokens = self.rng.u32(20..=60);
                self.waiting.push((self.now, requirements, tokens));
            }
            self.dispatch();
            self.now = self.now + TICK;
            self.step();
        }
    }

    fn dispatch(&mut self) {
        let mut at = 0;
        while at < self.waiting.len() {
            if self.picker.free_slots(self.now) == 0 {
                return;
            }
            let requirements = self.waiting[at].1.clone();
            let Some(candidate) = self.picker.pick(self.now, &requirements) else {
                at += 1;
                continue;
            };
            let (arrived, _, tokens) = self.waiting.remove(at);
            let engine = self.engines.get_mut(&candidate.id).unwrap();
            if engine.crashed {
                self.failures += 1;
                let outcome = RequestOutcome::Failed;
                self.picker
                    .release(self.now, &candidate.id, requirements.tier, outcome);
                let mut requirements = requirements;
                requirements.avoid.push(candidate.id);
                self.waiting.insert(at, (arrived, requirements, tokens));
                continue;
            }
            engine.in_flight += 1;
            self.running.push(Run {
                id: candidate.id,
                requirements,
                arrived,
                tokens,
                generated: 0,
                last: self.now,
                started: self.now,
                fraction: 0.0,
            });
        }
    }

    fn step(&mut self) {
        for mut run in std::mem::take(&mut self.running) {
            let engine = &self.engines[&run.id];
            let added = engine.step_per_request_ms * f64::from(engine.in_flight.saturating_sub(1));
            run.fraction += 1.0 / ((engine.step_ms + added) * engine.slowdown);
            if run.fraction < 1.0 {
                self.running.push(run);
                continue;
            }
            run.fraction -= 1.0;
            run.generated += 1;
            let span = self.now.since(run.last);
            self.picker
                .record_progress(self.now, &run.id, Tokens(1), span);
            run.last = self.now;
            if run.generated < run.tokens {
                self.running.push(run);
                continue;
            }
            self.engines.get_mut(&run.id).unwrap().in_flight -= 1;
            let outcome = RequestOutcome::Completed;
            self.picker
                .release(self.now, &run.id, run.requirements.tier, outcome);
            self.responses.push(Response {
                arrived: run.arrived.since(Instant::from_nanos(1_000_000_000)),
                inter_token: self.now.since(run.started) / run.generated,
                waited: run.started.since(run.arrived),
            });
        }
    }

    /// Share of responses to requests that arrived since `from` whose inter-token time is at most
    /// `limit`.
    pub(crate) fn attained(&self, from: Duration, limit: Duration) -> f64 {
        let counted: Vec<_> = self
            .responses
            .iter()
            .filter(|r| r.arrived >= from)
            .collect();
        let good = counted.iter().filter(|r| r.inter_token <= limit).count();
        good as f64 / counted.len().max(1) as f64
    }
}
