//! Fake engines in simulated time, for tests of endpoint policies.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    clock::Stamp,
    route::{Candidate, Picker, RequestOutcome, Requirements},
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, Tier, Tokens},
};

/// Resolution of the simulation.
const TICK: Duration = Duration::from_millis(1);

/// A fake engine: its step takes longer with more requests.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) step_ms: f64,
    pub(crate) crowd_ms: f64,
    pub(crate) slow: f64,
    /// Whether requests fail at once.
    pub(crate) dead: bool,
    flying: u32,
}

struct Run {
    id: EndpointId,
    need: Requirements,
    arrived: Stamp,
    left: u32,
    made: u32,
    last: Stamp,
    began: Stamp,
    /// Part of the next token that is made.
    part: f64,
}

/// A whole answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) arrived: Duration,
    pub(crate) between: Duration,
    pub(crate) waited: Duration,
}

/// Engines, and requests that wait in order of arrival.
pub(crate) struct Sim {
    pub(crate) picker: Box<dyn Picker>,
    pub(crate) engines: BTreeMap<EndpointId, Engine>,
    pub(crate) now: Stamp,
    pub(crate) answers: Vec<Answer>,
    pub(crate) failures: u64,
    pub(crate) waiting: Vec<(Stamp, Requirements, u32)>,
    running: Vec<Run>,
    rng: fastrand::Rng,
}

pub(crate) fn id(index: usize) -> EndpointId {
    format!("e{index:02}").parse().unwrap()
}

pub(crate) fn target(index: usize, cheap: bool, slots: u32) -> Candidate {
    Candidate {
        id: id(index),
        addr: "127.0.0.1:1".parse().unwrap(),
        cheap,
        slots,
    }
}

pub(crate) fn need(tier: u8, idempotent: bool) -> Requirements {
    Requirements {
        tier: Tier(tier),
        idempotent,
        prefix_hash: 0,
        inter_token: Duration::from_millis(20),
        avoid: Vec::new(),
    }
}

impl Sim {
    pub(crate) fn new(picker: impl Picker + 'static, targets: &[Candidate], seed: u64) -> Self {
        let mut picker: Box<dyn Picker> = Box::new(picker);
        let now = Stamp::from_nanos(1_000_000_000);
        picker.set_candidates(now, targets);
        let engine = Engine {
            step_ms: 8.0,
            crowd_ms: 0.5,
            slow: 1.0,
            dead: false,
            flying: 0,
        };
        let engines = targets.iter().map(|t| (t.id.clone(), engine.clone()));
        Self {
            picker,
            engines: engines.collect(),
            now,
            answers: Vec::new(),
            failures: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub(crate) fn engine(&mut self, index: usize) -> &mut Engine {
        self.engines.get_mut(&id(index)).unwrap()
    }

    pub(crate) fn flying(&self, index: usize) -> u32 {
        self.engines[&id(index)].flying
    }

    fn time(&self) -> Duration {
        self.now.since(Stamp::from_nanos(1_000_000_000))
    }

    /// Runs with `rate` arrivals a second of answers of 20 to 60 tokens.
    pub(crate) fn run(&mut self, span: Duration, rate: f64, need: &Requirements) {
        let end = self.now + span;
        while self.now < end {
            if self.rng.f64() < rate * TICK.as_secs_f64() {
                let mut need = need.clone();
                need.prefix_hash = self.rng.u64(1..=16);
                let tokens = self.rng.u32(20..=60);
                self.waiting.push((self.now, need, tokens));
            }
            self.pump();
            self.now = self.now + TICK;
            self.step();
        }
    }

    fn pump(&mut self) {
        let mut at = 0;
        while at < self.waiting.len() {
            if self.picker.free_slots(self.now) == 0 {
                return;
            }
            let need = self.waiting[at].1.clone();
            let Some(target) = self.picker.pick(self.now, &need) else {
                at += 1;
                continue;
            };
            let (arrived, _, left) = self.waiting.remove(at);
            let engine = self.engines.get_mut(&target.id).unwrap();
            if engine.dead {
                self.failures += 1;
                let ending = RequestOutcome::Failed;
                self.picker.release(self.now, &target.id, need.tier, ending);
                let mut need = need;
                need.avoid.push(target.id);
                self.waiting.insert(at, (arrived, need, left));
                continue;
            }
            engine.flying += 1;
            self.running.push(Run {
                id: target.id,
                need,
                arrived,
                left,
                made: 0,
                last: self.now,
                began: self.now,
                part: 0.0,
            });
        }
    }

    fn step(&mut self) {
        for mut run in std::mem::take(&mut self.running) {
            let engine = &self.engines[&run.id];
            let crowd = engine.crowd_ms * f64::from(engine.flying.saturating_sub(1));
            run.part += 1.0 / ((engine.step_ms + crowd) * engine.slow);
            if run.part < 1.0 {
                self.running.push(run);
                continue;
            }
            run.part -= 1.0;
            run.made += 1;
            let span = self.now.since(run.last);
            self.picker.progress(self.now, &run.id, Tokens(1), span);
            run.last = self.now;
            if run.made < run.left {
                self.running.push(run);
                continue;
            }
            self.engines.get_mut(&run.id).unwrap().flying -= 1;
            let ending = RequestOutcome::Completed;
            self.picker
                .release(self.now, &run.id, run.need.tier, ending);
            self.answers.push(Answer {
                arrived: run.arrived.since(Stamp::from_nanos(1_000_000_000)),
                between: self.now.since(run.began) / run.made,
                waited: run.began.since(run.arrived),
            });
        }
    }

    /// Share of answers since `from` with a time between tokens of at most `limit`.
    pub(crate) fn attained(&self, from: Duration, limit: Duration) -> f64 {
        let counted: Vec<_> = self.answers.iter().filter(|a| a.arrived >= from).collect();
        let good = counted.iter().filter(|a| a.between <= limit).count();
        good as f64 / counted.len().max(1) as f64
    }
}
