//! Fleets of 8, 60 and 300 VMs before endpoints that some requests crash, in simulated time.

mod crash_common;

use {
    clock::Instant,
    crash_common::{at, part, start_of},
    fastrand::Rng,
    route::{CrashNews, CrashTable, Suspect},
    std::{collections::BTreeMap, time::Duration},
};

const TICK: Duration = Duration::from_millis(10);
/// Time from a request until its endpoint begins to answer.
const RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Time until a crashed endpoint is back.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Interval of gossip, and the time that news takes besides: through two hubs in a large fleet.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
const MESH_DELAY: Duration = Duration::from_millis(10);
const HUB_DELAY: Duration = Duration::from_millis(600);
/// Time after the fifth crash from which VMs have to know.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Most requests that may reach endpoints afterwards.
const MAX_ARRIVALS: usize = 3;
/// Part that all prompts begin with, and parts that many share.
const FIRST_PART: u64 = 1;
const SHARED_PARTS: u64 = 20;
/// Most bytes of news from one VM in one round.
const MAX_NEWS_BYTES: usize = 8 * 1024;

#[derive(Clone)]
struct Request {
    vm: usize,
    endpoint: usize,
    suspects: Vec<Suspect>,
    answered_at: Instant,
}

struct Fleet {
    vms: Vec<CrashTable>,
    /// The hub through which the VMs of a large fleet hear of each other.
    hub: Option<CrashTable>,
    now: Instant,
    rng: Rng,
    /// Start number of each endpoint, and from when it is up.
    endpoints: Vec<(u64, Instant)>,
    requests: Vec<Request>,
    /// News on their way to all VMs.
    news: Vec<(Instant, CrashNews)>,
    next_gossip: Instant,
    /// Time that news takes from a VM to the others.
    delay: Duration,
    deadly: Vec<u64>,
    crashes: Vec<Instant>,
    /// When requests with a deadly part reached endpoints.
    arrivals: Vec<Instant>,
    refused: BTreeMap<bool, usize>,
    next_part: u64,
    news_bytes: usize,
}

impl Fleet {
    fn new(vms: usize, endpoints: usize, deadly: &[u64], seed: u64) -> Self {
        let rng = Rng::with_seed(seed);
        Self {
            vms: (0..vms)
                .map(|at| CrashTable::new(at as f64 / vms as f64))
                .collect(),
            hub: (vms > 40).then(CrashTable::default),
            now: at(0),
            rng,
            endpoints: vec![(1, at(0)); endpoints],
            requests: Vec::new(),
            news: Vec::new(),
            next_gossip: at(0),
            delay: if vms > 40 { HUB_DELAY } else { MESH_DELAY },
            deadly: deadly.to_vec(),
            crashes: Vec::new(),
            arrivals: Vec::new(),
            refused: BTreeMap::new(),
            next_part: 1_000,
            news_bytes: 0,
        }
    }

    /// Runs for `time` with `rate` requests a second, a share of them with a deadly part.
    fn run(&mut self, time: Duration, rate: f64, deadly_share: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            let mut expected = rate * TICK.as_secs_f64();
            while self.rng.f64() < expected {
                expected -= 1.0;
                let is_deadly = self.rng.f64() < deadly_share;
                self.send(is_deadly);
            }
            self.answer();
            if self.now >= self.next_gossip {
                self.next_gossip = self.now + GOSSIP_INTERVAL;
                self.gossip();
            }
        }
    }

    fn send(&mut self, is_deadly: bool) {
        self.next_part += 1;
        let mut suspects = vec![part(FIRST_PART), part(10 + self.rng.u64(..SHARED_PARTS))];
        if is_deadly {
            let at = self.rng.usize(..self.deadly.len());
            suspects.push(part(self.deadly[at]));
        }
        // Some prompts have a part of their own that is not the last one.
        if self.rng.bool() {
            suspects.push(part(self.next_part));
        }
        let vm = self.rng.usize(..self.vms.len());
        let refused = self.vms[vm].refused(self.now, &suspects).is_some();
        if refused {
            *self.refused.entry(is_deadly).or_default() += 1;
            return;
        }
        let up: Vec<_> = (0..self.endpoints.len())
            .filter(|e| self.endpoints[*e].1 <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        if is_deadly {
            self.arrivals.push(self.now);
        }
        self.requests.push(Request {
            vm,
            endpoint: up[self.rng.usize(..up.len())],
            suspects,
            answered_at: self.now + RESPONSE_TIME,
        });
    }

    fn answer(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .requests
            .iter()
            .filter(|r| r.answered_at <= now)
            .cloned()
            .collect();
        for request in due {
            let is_deadly = self
                .deadly
                .iter()
                .any(|d| request.suspects.contains(&part(*d)));
            if is_deadly {
                self.crash(request.endpoint);
            } else if self.endpoints[request.endpoint].1 <= now {
                self.vms[request.vm].record_sound(now, &request.suspects);
            }
        }
        self.requests.retain(|r| r.answered_at > now);
    }

    /// Crashes an endpoint; all that it had begun to answer is cut.
    fn crash(&mut self, endpoint: usize) {
        let (born, up_at) = self.endpoints[endpoint];
        if up_at > self.now {
            return;
        }
        self.crashes.push(self.now);
        self.endpoints[endpoint] = (born + 1, self.now + RESTART_TIME);
        let start = start_of(endpoint, born);
        let cut: Vec<_> = self
            .requests
            .iter()
            .filter(|r| r.endpoint == endpoint)
            .cloned()
            .collect();
        self.requests.retain(|r| r.endpoint != endpoint);
        for request in cut {
            let table = &mut self.vms[request.vm];
            if table.record_cut(self.now, &start, &request.suspects) {
                table.end_check(self.now, &start, true);
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.now;
        let mut news = std::mem::take(&mut self.news);
        let (due, later) = news.drain(..).partition(|(at, _)| *at <= now);
        self.news = later;
        for (_, mut news) in due {
            let late = |age_ms: &mut u64| *age_ms += self.delay.as_millis() as u64;
            news.reports.iter_mut().for_each(|r| late(&mut r.age_ms));
            news.sound.iter_mut().for_each(|s| late(&mut s.age_ms));
            news.quarantines
                .iter_mut()
                .for_each(|v| late(&mut v.age_ms));
            for vm in &mut self.vms {
                vm.learn(now, &news);
            }
        }
        for vm in &mut self.vms {
            vm.update(now);
            let news = vm.tell(now, false, false);
            if news.is_empty() {
                continue;
            }
            match &mut self.hub {
                Some(hub) => {
                    hub.learn(now, &news);
                }
                None => self.news.push((now + self.delay, news)),
            }
        }
        if let Some(hub) = &mut self.hub {
            hub.update(now);
            let news = hub.tell(now, true, true);
            let reports = news.reports.iter().flat_map(|r| &r.requests);
            let size = 9 * (reports.flatten().count() + news.sound.len() + news.quarantines.len());
            self.news_bytes = self.news_bytes.max(size);
            self.news.push((now + self.delay, news));
        }
    }

    /// Number of deadly requests that reached endpoints too late after the fifth crash.
    fn late_arrivals(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else {
            return 0;
        };
        let late = self.arrivals.iter().filter(|a| **a > *fifth + CONTACT_TIME);
        late.count()
    }

    fn refused_sound(&self) -> usize {
        self.refused.get(&false).copied().unwrap_or(0)
    }
}

/// Fleets of the users' sizes, with engines and requests a second.
const FLEETS: [(usize, usize, f64); 3] = [(8, 20, 70.0), (60, 90, 400.0), (300, 240, 700.0)];

#[test]
fn deadly_part_is_refused_by_fleets_of_all_sizes() {
    for (vms, endpoints, rate) in FLEETS {
        for seed in 0..5 {
            let mut fleet = Fleet::new(vms, endpoints, &[666], seed);
            fleet.run(Duration::from_secs(2), rate, 0.0);
            fleet.run(Duration::from_secs(12), rate, 0.05);
            let late = fleet.late_arrivals();
            assert!(late <= MAX_ARRIVALS, "{vms} VMs, seed {seed}: {late}");
            assert_eq!(fleet.refused_sound(), 0, "{vms} VMs, seed {seed}");
            assert!(fleet.news_bytes < MAX_NEWS_BYTES, "{}", fleet.news_bytes);
        }
    }
}

#[test]
fn many_deadly_parts_at_once_are_refused() {
    for (vms, endpoints, rate) in FLEETS {
        let deadly: Vec<_> = (600..606).collect();
        let mut fleet = Fleet::new(vms, endpoints, &deadly, 1);
        fleet.run(Duration::from_secs(2), rate, 0.0);
        fleet.run(Duration::from_secs(20), rate, 0.06);
        let last = fleet.arrivals.iter().max().copied();
        assert!(
            last < Some(fleet.now - Duration::from_secs(3)),
            "{vms} VMs: still {last:?}"
        );
        assert_eq!(fleet.refused_sound(), 0, "{vms} VMs");
    }
}

/// Endpoints that crash for another reason made suspects of the requests that they were reading.
#[test]
fn crashes_for_another_reason_convict_nothing() {
    for (vms, endpoints, rate) in FLEETS {
        for seed in 0..5 {
            let mut fleet = Fleet::new(vms, endpoints, &[], seed);
            for _ in 0..60 {
                fleet.run(Duration::from_millis(200), rate, 0.0);
                // A rack of three at a time.
                let first = fleet.rng.usize(..endpoints);
                (first..first + 3).for_each(|e| fleet.crash(e % endpoints));
            }
            fleet.run(Duration::from_secs(3), rate, 0.0);
            assert_eq!(fleet.refused_sound(), 0, "{vms} VMs, seed {seed}");
        }
    }
}
