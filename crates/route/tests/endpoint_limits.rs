//! Fleets of 8, 60 and 300 VMs before endpoints that name limits, in simulated time.

mod common;

use {
    clock::Instant,
    common::{id, request, spec, start, zone},
    fastrand::Rng,
    route::{FleetRank, LimitNotice, NoticeTable, Placement, PlacementOutcome, Placer},
    std::{collections::BTreeMap, time::Duration},
    types::{EndpointId, PerSecond},
};

const TICK: Duration = Duration::from_millis(10);
/// Time to a response.
const RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Time from a response to one VM until the others know of it, with hubs.
const GOSSIP_DELAY: Duration = Duration::from_millis(1_000);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time until a VM knows of a change of the fleet.
const RANK_DELAY: Duration = Duration::from_millis(3_500);
/// Time after which VMs have to keep a limit, and the length of the window that is counted.
const CONTACT_TIME: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(4);

struct Vm {
    placer: Placer,
    notices: NoticeTable,
    next_gossip: Instant,
}

struct Fleet {
    vms: Vec<Vm>,
    now: Instant,
    rng: Rng,
    endpoints: usize,
    /// Limits that the endpoints name at present.
    limits: BTreeMap<EndpointId, PerSecond>,
    arrivals: BTreeMap<EndpointId, Vec<Instant>>,
    refused: Vec<Duration>,
    responses: Vec<(Instant, usize, Placement)>,
    gossip: Vec<(Instant, LimitNotice)>,
    /// Changes of rank that VMs learn later.
    ranks: Vec<(Instant, usize, FleetRank)>,
}

fn per_second(rate: f64) -> PerSecond {
    PerSecond::try_from(rate).unwrap()
}

fn name(at: usize) -> EndpointId {
    id(&format!("e{at}"))
}

fn new_vm(endpoints: usize, next_gossip: Instant) -> Vm {
    let mut placer = Placer::new(None);
    for at in 0..endpoints {
        placer.upsert_endpoint(start(), spec(&format!("e{at}"), "a", false));
    }
    Vm {
        placer,
        notices: NoticeTable::default(),
        next_gossip,
    }
}

impl Fleet {
    fn new(vms: usize, endpoints: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let vms = (0..vms).map(|at| {
            let delay = GOSSIP_INTERVAL.mul_f64(rng.f64());
            let mut vm = new_vm(endpoints, start() + delay);
            let rank = FleetRank {
                rank: at as u32,
                vms: vms as u32,
            };
            vm.placer.set_rank(start(), Some(rank));
            vm
        });
        Self {
            vms: vms.collect(),
            now: start(),
            endpoints,
            limits: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            refused: Vec::new(),
            responses: Vec::new(),
            gossip: Vec::new(),
            ranks: Vec::new(),
            rng,
        }
    }

    fn limit_all(&mut self, limit: f64) {
        self.limits = (0..self.endpoints)
            .map(|at| (name(at), per_second(limit)))
            .collect();
    }

    /// Restarts a VM; it knows its rank after a moment.
    fn restart(&mut self, at: usize) {
        self.vms[at] = new_vm(self.endpoints, self.now);
        self.responses.retain(|(_, vm, _)| *vm != at);
        let rank = FleetRank {
            rank: at as u32,
            vms: self.vms.len() as u32,
        };
        self.ranks.push((self.now + GOSSIP_DELAY, at, rank));
    }

    /// Removes the last VMs, which the others notice one after the other.
    fn shrink(&mut self, count: usize) {
        self.vms.truncate(count);
        self.responses.retain(|(_, vm, _)| *vm < count);
        for at in 0..count {
            let rank = FleetRank {
                rank: at as u32,
                vms: count as u32,
            };
            let delay = RANK_DELAY.mul_f64(self.rng.f64());
            self.ranks.push((self.now + delay, at, rank));
        }
    }

    /// Runs for `time` with `rate` requests a second at all VMs together.
    fn run(&mut self, time: Duration, rate: f64) {
        let end = self.now + time;
        let per_tick = rate * TICK.as_secs_f64() / self.vms.len() as f64;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            for at in 0..self.vms.len() {
                let mut expected = per_tick;
                while self.rng.f64() < expected {
                    self.send(at);
                    expected -= 1.0;
                }
            }
        }
    }

    fn send(&mut self, at: usize) {
        let zone = zone("a");
        let placer = &mut self.vms[at].placer;
        let Some(placement) = placer.place(self.now, &request(&zone, None, 100)) else {
            let wait = placer.schedule_return(self.now).unwrap();
            self.refused.push(self.now.since(start()) + wait);
            return;
        };
        let seen = self.arrivals.entry(placement.id.clone()).or_default();
        seen.push(self.now);
        self.responses
            .push((self.now + RESPONSE_TIME, at, placement));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = |at: &Instant| *at <= now;
        let ranks = &mut self.ranks;
        for (_, at, rank) in ranks.extract_if(.., |(at, _, _)| due(at)) {
            if let Some(vm) = self.vms.get_mut(at) {
                vm.placer.set_rank(now, Some(rank));
            }
        }
        let responses: Vec<_> = self
            .responses
            .extract_if(.., |(at, _, _)| due(at))
            .collect();
        for (_, at, placement) in responses {
            let limit = self.limits.get(&placement.id).copied();
            let vm = &mut self.vms[at];
            vm.placer
                .finish(now, &placement, PlacementOutcome::Completed);
            vm.notices.set_limit(now, (&placement.id, 1), limit);
            vm.restrict(now, &placement.id);
        }
        let notices: Vec<_> = self.gossip.extract_if(.., |(at, _)| due(at)).collect();
        for (_, notice) in notices {
            for vm in &mut self.vms {
                if vm.notices.learn_limit(now, &notice) {
                    vm.restrict(now, &notice.id);
                }
            }
        }
        for vm in self.vms.iter_mut().filter(|vm| vm.next_gossip <= now) {
            vm.next_gossip = now + GOSSIP_INTERVAL;
            let delay = GOSSIP_DELAY.mul_f64(self.rng.f64());
            for mut notice in vm.notices.tell_limits(now, false) {
                notice.age_ms += delay.as_millis() as u64;
                self.gossip.push((now + delay, notice));
            }
        }
    }

    /// Largest number of arrivals at an endpoint in a window that begins at `from` or later.
    fn most_in_window(&self, from: Instant) -> usize {
        let of_endpoint = |arrivals: &Vec<Instant>| {
            let later: Vec<_> = arrivals.iter().filter(|at| **at >= from).collect();
            let mut end = 0;
            let counts = later.iter().enumerate().map(|(first, at)| {
                while end < later.len() && *later[end] < **at + WINDOW {
                    end += 1;
                }
                end - first
            });
            counts.max().unwrap_or(0)
        };
        self.arrivals.values().map(of_endpoint).max().unwrap_or(0)
    }

    fn arrivals_since(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.values().flatten();
        arrivals.filter(|at| **at >= from).count()
    }
}

impl Vm {
    fn restrict(&mut self, now: Instant, id: &EndpointId) {
        let restriction = self.notices.restriction(id, 1);
        self.placer.restrict(now, id, restriction);
    }
}

/// One and a half times the limit, and five requests.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Sizes of fleets, and the number of endpoints of a service before each.
const FLEETS: [(usize, usize); 3] = [(8, 4), (60, 5), (300, 5)];
const LIMITS: [f64; 4] = [0.3, 1.0, 1.7, 12.0];

/// Each VM kept a limit by itself, or all of them used it up when they heard of it.
#[test]
fn fleets_of_all_sizes_keep_limits_and_use_them() {
    for (vms, endpoints) in FLEETS {
        for limit in LIMITS {
            for seed in 0..3 {
                let mut fleet = Fleet::new(vms, endpoints, seed);
                // At least four requests a second at each VM, as in the users' fleets.
                let rate = (4.0 * limit * endpoints as f64).max(4.0 * vms as f64);
                fleet.run(Duration::from_secs(2), rate);
                fleet.limit_all(limit);
                fleet.run(CONTACT_TIME, rate);
                let from = fleet.now;
                fleet.run(Duration::from_secs(20), rate);
                let most = fleet.most_in_window(from);
                let case = format!("{vms} VMs, limit {limit}, seed {seed}");
                assert!(most <= allowed(limit), "{case}: {most}");
                let used = fleet.arrivals_since(from) as f64;
                let offered = limit * endpoints as f64 * 20.0;
                assert!(used >= 0.7 * offered, "{case}: {used} of {offered}");
            }
        }
    }
}

/// A restarted VM, or one that hears that others are gone, took more than its share.
#[test]
fn limits_hold_while_vms_restart_and_leave() {
    for (vms, endpoints) in FLEETS {
        for seed in 0..3 {
            let limit = 1.7;
            let mut fleet = Fleet::new(vms, endpoints, seed);
            fleet.limit_all(limit);
            fleet.run(CONTACT_TIME, 60.0);
            let from = fleet.now;
            for round in 0..8 {
                fleet.restart(round % (vms / 2));
                fleet.run(Duration::from_secs(1), 60.0);
            }
            fleet.shrink(vms * 3 / 4);
            fleet.run(Duration::from_secs(8), 60.0);
            let most = fleet.most_in_window(from);
            // A restarted VM sends before it hears of the limits: one request to each endpoint.
            let unaware = 1;
            let most_allowed = allowed(limit) + unaware;
            assert!(most <= most_allowed, "{vms} VMs, seed {seed}: {most}");
        }
    }
}

/// A limit that fell or ended was kept at its old value.
#[test]
fn changed_and_ended_limits_count_in_the_whole_fleet() {
    for (vms, endpoints) in FLEETS {
        let mut fleet = Fleet::new(vms, endpoints, 1);
        fleet.limit_all(12.0);
        fleet.run(CONTACT_TIME, 200.0);
        fleet.limit_all(1.0);
        fleet.run(CONTACT_TIME, 200.0);
        let from = fleet.now;
        fleet.run(Duration::from_secs(12), 200.0);
        let most = fleet.most_in_window(from);
        assert!(most <= allowed(1.0), "{vms} VMs: {most}");
        fleet.limits.clear();
        fleet.run(CONTACT_TIME, 200.0);
        let (from, refused) = (fleet.now, fleet.refused.len());
        fleet.run(Duration::from_secs(4), 200.0);
        assert_eq!(fleet.refused.len(), refused, "{vms} VMs");
        let served = fleet.arrivals_since(from);
        assert!(served > 700, "{vms} VMs: {served}");
    }
}

/// All refused callers were told to return for the same next request.
#[test]
fn callers_refused_because_of_limits_return_one_after_the_other() {
    let limit = 12.0;
    let mut fleet = Fleet::new(8, 4, 1);
    fleet.limit_all(limit);
    fleet.run(CONTACT_TIME, 60.0);
    fleet.refused.clear();
    fleet.run(Duration::from_secs(2), 96.0);
    // Twice the limit is offered for two seconds; those refused return at the rate of the limit.
    let second = Duration::from_secs(1);
    let mut returns = fleet.refused.clone();
    returns.sort();
    let most = returns.iter().enumerate().map(|(first, at)| {
        let after = returns[first..].iter();
        after.take_while(|t| **t < *at + second).count()
    });
    let most = most.max().unwrap_or(0);
    assert!(returns.len() > 50, "{}", returns.len());
    assert!(most as f64 <= 1.5 * limit * 4.0, "{most} in a second");
}
