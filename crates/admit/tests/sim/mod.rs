//! Fake server with a fixed number of slots, in simulated time, for tests of queue policies.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    admit::{ClassRule, Completion, Queue, QueuedRequest, QueuedRequestId, ShedRequest},
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::{ClassId, OrgId, Tier, Tokens},
};

/// Time of one step, in which each running request generates one token.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// Arrivals of one organisation in one class.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    pub(crate) class: &'static str,
    pub(crate) org: &'static str,
    /// Arrivals per second.
    pub(crate) rate: f64,
    /// Mean length of responses, in tokens.
    pub(crate) tokens: f64,
    /// Start and end of the activity, in seconds.
    pub(crate) span: (f64, f64),
}

/// Timeline of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestRecord {
    pub(crate) class: &'static str,
    pub(crate) org: &'static str,
    pub(crate) tier: u8,
    pub(crate) arrived: Duration,
    pub(crate) first: Option<Duration>,
    pub(crate) shed: Option<Duration>,
    pub(crate) tokens: u64,
    pub(crate) generated: u64,
    pub in_time: bool,
}

struct Run {
    request: QueuedRequest,
    started: Instant,
    generated: u64,
}

/// Server, queue and the records of all requests.
pub(crate) struct Sim {
    pub(crate) queue: Box<dyn Queue>,
    pub(crate) rules: Vec<ClassRule>,
    pub(crate) slots: usize,
    pub(crate) now: Instant,
    pub(crate) records: Vec<RequestRecord>,
    /// Number of steps in which a slot stayed free while a request waited.
    pub(crate) idle: u64,
    /// Dispatches in order, with class and time.
    pub(crate) dispatches: Vec<(&'static str, Duration)>,
    running: Vec<Run>,
    rng: fastrand::Rng,
}

pub(crate) fn rule(id: &str, tier: u8, starve_ms: u64, first_ms: u64) -> ClassRule {
    ClassRule {
        id: id.parse().unwrap(),
        tier: Tier(tier),
        depth: 100,
        starvation_limit: Duration::from_millis(starve_ms),
        first_token: Duration::from_millis(first_ms),
    }
}

pub(crate) fn request(id: u64, rule: &ClassRule, org: &str, now: Instant) -> QueuedRequest {
    QueuedRequest {
        id: QueuedRequestId(id),
        org: org.parse().unwrap(),
        weight: 1,
        class: rule.id.clone(),
        tier: rule.tier,
        arrived: now,
        deadline: now + rule.first_token,
        prompt: Tokens(0),
        resumed: false,
    }
}

impl Sim {
    pub(crate) fn new(
        mut queue: Box<dyn Queue>,
        rules: &[ClassRule],
        slots: usize,
        seed: u64,
    ) -> Self {
        queue.set_classes(rules);
        queue.set_capacity(slots as u32);
        Self {
            queue,
            rules: rules.to_vec(),
            slots,
            now: Instant::from_nanos(1_000_000_000),
            records: Vec::new(),
            idle: 0,
            dispatches: Vec::new(),
            running: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn time(&self) -> Duration {
        self.now.since(Instant::from_nanos(1_000_000_000))
    }

    /// Runs until `seconds` with Poisson arrivals of the flows.
    pub(crate) fn run(&mut self, seconds: f64, flows: &[Flow]) {
        while self.time().as_secs_f64() < seconds {
            let time = self.time().as_secs_f64();
            for flow in flows {
                let active = flow.span.0 <= time && time < flow.span.1;
                let mut chance = if active {
                    flow.rate * STEP.as_secs_f64()
                } else {
                    0.0
                };
                while self.rng.f64() < chance {
                    self.arrive(flow);
                    chance -= 1.0;
                }
            }
            self.dispatch();
            self.now = self.now + STEP;
            self.step();
            let late = self.queue.expire(self.now);
            self.shed(late);
            self.dispatch();
        }
    }

    fn arrive(&mut self, flow: &Flow) {
        let rule = self.rules.iter().find(|r| r.id.as_str() == flow.class);
        let rule = rule.unwrap().clone();
        let tokens = (-self.rng.f64().max(1e-9).ln() * flow.tokens).ceil();
        self.records.push(RequestRecord {
            class: flow.class,
            org: flow.org,
            tier: rule.tier.0,
            arrived: self.time(),
            tokens: tokens.clamp(1.0, 8.0 * flow.tokens) as u64,
            ..RequestRecord::default()
        });
        let request = request(self.records.len() as u64 - 1, &rule, flow.org, self.now);
        let shed = self.queue.offer(self.now, request);
        self.shed(shed);
    }

    fn shed(&mut self, shed: Vec<ShedRequest>) {
        let time = self.time();
        for s in shed {
            let record = &mut self.records[s.request.id.0 as usize];
            assert!(
                record.first.is_none() && record.shed.is_none(),
                "shed after it was dispatched or shed"
            );
            record.shed = Some(time);
        }
    }

    fn dispatch(&mut self) {
        while self.running.len() < self.slots {
            let Some(request) = self.queue.dequeue(self.now, &mut |_| true) else {
                self.idle += u64::from(!self.queue.is_empty());
                return;
            };
            let time = self.time();
            let record = &mut self.records[request.id.0 as usize];
            assert!(
                record.first.is_none() && record.shed.is_none(),
                "dispatched after it was dispatched or shed"
            );
            record.first = Some(time);
            record.in_time = request.deadline >= self.now;
            self.dispatches.push((record.class, time));
            self.running.push(Run {
                request,
                started: self.now,
                generated: 0,
            });
        }
    }

    fn step(&mut self) {
        let running = std::mem::take(&mut self.running);
        for mut run in running {
            let record = &mut self.records[run.request.id.0 as usize];
            run.generated += 1;
            record.generated += 1;
            let (class, org) = (run.request.class.clone(), run.request.org.clone());
            self.queue
                .charge(&class, &org, run.request.weight, Tokens(1));
            if run.generated < record.tokens {
                self.running.push(run);
                continue;
            }
            let completion = Completion {
                class,
                org,
                slot_time: self.now.since(run.started),
                tokens: Tokens(run.generated),
                complete: true,
            };
            self.queue.completed(self.now, &completion);
        }
    }

    /// Share of the decided requests of a class that arrived since `from` seconds and were
    /// dispatched in time.
    pub(crate) fn attained(&self, class: &str, from: f64) -> f64 {
        let records = self.records.iter();
        let decided: Vec<_> = records
            .filter(|r| r.class == class && r.arrived.as_secs_f64() >= from)
            .filter(|r| r.first.is_some() || r.shed.is_some())
            .collect();
        decided.iter().filter(|r| r.in_time).count() as f64 / decided.len().max(1) as f64
    }

    /// Share of generated tokens that belong to requests dispatched after their deadline.
    pub(crate) fn wasted(&self) -> f64 {
        let generated: u64 = self.records.iter().map(|r| r.generated).sum();
        let late = self
            .records
            .iter()
            .filter(|r| r.first.is_some() && !r.in_time);
        late.map(|r| r.generated).sum::<u64>() as f64 / generated.max(1) as f64
    }

    /// Generated tokens by organisation.
    pub(crate) fn by_org(&self) -> BTreeMap<&'static str, f64> {
        let mut orgs = BTreeMap::new();
        for record in &self.records {
            *orgs.entry(record.org).or_insert(0.0) += record.generated as f64;
        }
        orgs
    }

    /// Requested tokens by organisation.
    pub(crate) fn demand(&self) -> BTreeMap<&'static str, f64> {
        let mut orgs = BTreeMap::new();
        for record in &self.records {
            *orgs.entry(record.org).or_insert(0.0) += record.tokens as f64;
        }
        orgs
    }

    /// Lowest ratio of an organisation's tokens to its max-min fair share of all generated tokens.
    pub(crate) fn worst_share(&self) -> f64 {
        let (generated, demand) = (self.by_org(), self.demand());
        let shares = fair_shares(&demand, generated.values().sum());
        let ratio = |(org, share): (&&str, &f64)| generated[org] / share;
        shares.iter().map(ratio).fold(f64::INFINITY, f64::min)
    }
}

/// Max-min fair shares of `total` for the given demands.
pub(crate) fn fair_shares(
    demand: &BTreeMap<&'static str, f64>,
    total: f64,
) -> BTreeMap<&'static str, f64> {
    let mut sorted: Vec<_> = demand.iter().collect();
    sorted.sort_by(|a, b| a.1.total_cmp(b.1));
    let (mut remaining, mut shares) = (total, BTreeMap::new());
    for (index, (org, demanded)) in sorted.iter().enumerate() {
        let share = demanded.min(remaining / (sorted.len() - index) as f64);
        remaining -= share;
        shares.insert(**org, share);
    }
    shares
}

/// Records completions, so that the queue has a mean slot time for the class.
pub(crate) fn record_slot_times(queue: &mut dyn Queue, class: &ClassId, slot_time: Duration) {
    let org: OrgId = "measured".parse().unwrap();
    let completion = Completion {
        class: class.clone(),
        org,
        slot_time,
        tokens: Tokens(20),
        complete: true,
    };
    for _ in 0..20 {
        queue.completed(Instant::from_nanos(1_000_000_000), &completion);
    }
}
