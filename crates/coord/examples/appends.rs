//! Counts the appends to the lease stream that a fleet makes in simulated time, by step.
//!
//!     cargo run -p coord --example appends -- NODES ZONES

use {
    clock::Instant,
    coord::{Contender, Holder, LeaseDecision, LeaseId, LeaseRecord, LeaseStep, LeaseTiming},
    fastrand::Rng,
    std::{collections::BTreeMap, env, time::Duration},
    types::{Incarnation, ParseIdError},
};

const STEP: Duration = Duration::from_millis(5);
const PHASE: Duration = Duration::from_secs(60);
/// Longest delay from an append until a node reads it, in steps.
const LAG_STEPS: u64 = 20;
const ROLES: [&str; 2] = ["orders", "usage"];

struct Node {
    contenders: Vec<Contender>,
    zone: usize,
    read: usize,
    lag: u64,
}

struct Fleet {
    rng: Rng,
    now: Instant,
    step: u64,
    nodes: Vec<Node>,
    /// Records with the simulation step in which they were appended.
    log: Vec<(u64, LeaseRecord)>,
}

impl Fleet {
    fn new(nodes: usize, zones: usize) -> Result<Self, ParseIdError> {
        let mut rng = Rng::with_seed(6);
        let node = |i: usize| node(i, i % zones, 1, &mut rng);
        Ok(Self {
            nodes: (0..nodes).map(node).collect::<Result<_, _>>()?,
            rng,
            now: Instant::default(),
            step: 0,
            log: Vec::new(),
        })
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.step += 1;
            for node in &mut self.nodes {
                node.read(&self.log, self.step, self.now);
                node.append(&mut self.log, self.step, self.now);
            }
        }
    }

    /// Restarts all processes of the fleet.
    fn restart(&mut self, zones: usize) -> Result<(), ParseIdError> {
        for (i, old) in self.nodes.iter_mut().enumerate() {
            *old = node(i, i % zones, 2, &mut self.rng)?;
        }
        Ok(())
    }

    /// Makes all holders release their leases at once.
    fn release(&mut self) {
        for contender in self.nodes.iter_mut().flat_map(|n| &mut n.contenders) {
            if contender.epoch(self.now).is_some()
                && let Some(record) = contender.release(self.now)
            {
                self.log.push((self.step, record));
            }
        }
    }

    fn print(&self, phase: &str, from: usize, span: Duration) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut peak: BTreeMap<u64, usize> = BTreeMap::new();
        let steps = (Duration::from_secs(1).as_nanos() / STEP.as_nanos()) as u64;
        for (step, record) in &self.log[from..] {
            let step_name = match record.step {
                LeaseStep::Claim => "claim",
                LeaseStep::Renew(_) => "renew",
                LeaseStep::Release(_) => "release",
            };
            *counts.entry(step_name).or_default() += 1;
            *peak.entry(step / steps).or_default() += 1;
        }
        let peak = peak.values().max().copied().unwrap_or_default();
        let mean = (self.log.len() - from) as f64 / span.as_secs_f64();
        println!("{phase}: {mean:.1} appends a second, at most {peak} in one second; {counts:?}");
    }
}

impl Node {
    fn read(&mut self, log: &[(u64, LeaseRecord)], step: u64, now: Instant) {
        for (offset, (at, record)) in log.iter().enumerate().skip(self.read) {
            if at + self.lag > step {
                break;
            }
            self.read = offset + 1;
            for contender in &mut self.contenders {
                contender.fold(now, offset as u64, record);
            }
        }
        self.contenders
            .iter_mut()
            .for_each(|c| c.read_succeeded(now));
    }

    fn append(&mut self, log: &mut Vec<(u64, LeaseRecord)>, step: u64, now: Instant) {
        for contender in &mut self.contenders {
            if let LeaseDecision::Append(record) = contender.poll(now) {
                log.push((step, record));
            }
        }
    }
}

fn node(index: usize, zone: usize, start: u64, rng: &mut Rng) -> Result<Node, ParseIdError> {
    let holder = Holder {
        vm: format!("vm-{index}").parse()?,
        incarnation: Incarnation(start),
    };
    let zone_id: types::ZoneId = format!("zone-{zone}").parse()?;
    let zonal = ROLES.map(|role| LeaseId::zonal(role, zone_id.clone()));
    let leases = zonal.into_iter().chain([LeaseId::global("snapshots")]);
    let timing = LeaseTiming::default();
    let contender = |lease| Contender::new(lease, holder.clone(), timing, rng.u64(..));
    Ok(Node {
        contenders: leases.map(contender).collect(),
        zone,
        read: 0,
        lag: 1 + index as u64 % LAG_STEPS,
    })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = env::args().skip(1);
    let nodes: usize = args.next().as_deref().unwrap_or("16").parse()?;
    let zones: usize = args.next().as_deref().unwrap_or("4").parse()?;
    let mut fleet = Fleet::new(nodes, zones)?;
    let used_zones = fleet.nodes.iter().map(|n| n.zone).max().unwrap_or_default() + 1;
    println!("{nodes} nodes in {used_zones} availability zones");
    fleet.run(PHASE);
    fleet.print("start", 0, PHASE);
    let from = fleet.log.len();
    fleet.run(PHASE);
    fleet.print("steady", from, PHASE);
    let from = fleet.log.len();
    fleet.release();
    fleet.run(PHASE);
    fleet.print("all holders release", from, PHASE);
    let from = fleet.log.len();
    fleet.restart(zones)?;
    fleet.run(PHASE);
    fleet.print("all processes restart", from, PHASE);
    Ok(())
}
