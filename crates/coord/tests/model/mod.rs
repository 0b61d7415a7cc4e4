//! A small world for the lease protocol: a log, contenders with clocks of unlike rates, and faults.

use {
    clock::Stamp,
    coord::{Contender, Holder, LeaseDecision, LeaseId, LeaseRecord, LeaseTiming},
    fastrand::Rng,
    std::time::Duration,
    types::{Epoch, Incarnation},
};

/// True time of one step, in milliseconds.
pub(crate) const STEP_MS: u64 = 10;
/// What a write really takes: from the check to the send, and from the send to its effect.
const SEND_MS: u64 = 500;
const FLIGHT_MS: u64 = 2_500;
/// Clocks run 1% apart.
const RATES: [f64; 4] = [0.995, 1.005, 1.0, 1.005];

/// How often each fault happens, as one in so many steps; 0 for never.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    pub(crate) pause: u32,
    pub(crate) outage: u32,
    pub(crate) restart: u32,
    pub(crate) retain: u32,
    /// Share of appends that fail in one of several ways, in percent.
    pub(crate) append: u32,
}

struct Node {
    contender: Contender,
    rate: f64,
    next: u64,
    paused_until: u64,
    incarnation: u64,
}

struct Flying {
    record: LeaseRecord,
    lands: u64,
}

/// Two writers in charge at once.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Overlap {
    pub(crate) at_ms: u64,
    pub(crate) old: Epoch,
    pub(crate) new: Epoch,
}

pub(crate) struct World {
    rng: Rng,
    times: LeaseTiming,
    faults: Faults,
    pub(crate) now: u64,
    first: u64,
    log: Vec<LeaseRecord>,
    flying: Vec<Flying>,
    nodes: Vec<Node>,
    down_until: u64,
    /// Fencing number and time of the last check that passed.
    last: Option<(Epoch, u64)>,
    pub(crate) epochs: usize,
}

impl World {
    pub(crate) fn new(seed: u64, times: LeaseTiming, faults: Faults) -> Self {
        let mut world = Self {
            rng: Rng::with_seed(seed),
            times,
            faults,
            now: 1_000,
            first: 0,
            log: Vec::new(),
            flying: Vec::new(),
            nodes: Vec::new(),
            down_until: 0,
            last: None,
            epochs: 0,
        };
        let nodes = (0..RATES.len()).map(|i| world.node(i, 1)).collect();
        world.nodes = nodes;
        world
    }

    fn node(&mut self, index: usize, incarnation: u64) -> Node {
        let holder = Holder {
            vm: format!("vm-{index}").parse().unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let lease = LeaseId::zonal("orders", "a".parse().unwrap());
        Node {
            contender: Contender::new(lease, holder, self.times, self.rng.u64(..)),
            rate: RATES[index],
            next: 0,
            paused_until: 0,
            incarnation,
        }
    }

    fn one_in(&mut self, n: u32) -> bool {
        n > 0 && self.rng.u32(..n) == 0
    }

    /// Lets faults happen, or not.
    pub(crate) fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Whether anyone is in charge.
    pub(crate) fn held(&self) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|n| n.contender.epoch(local(n, self.now)).is_some())
    }

    /// One step of true time.
    pub(crate) fn step(&mut self) -> Result<(), Overlap> {
        self.now += STEP_MS;
        self.disturb();
        self.land();
        for i in 0..self.nodes.len() {
            if self.nodes[i].paused_until <= self.now {
                self.act(i);
            }
            self.check(i)?;
        }
        Ok(())
    }

    fn disturb(&mut self) {
        if self.one_in(self.faults.pause) {
            let i = self.rng.usize(..self.nodes.len());
            self.nodes[i].paused_until = self.now + self.rng.u64(..12_000);
        }
        if self.one_in(self.faults.outage) {
            self.down_until = self.now + self.rng.u64(..20_000);
        }
        if self.one_in(self.faults.restart) {
            let i = self.rng.usize(..self.nodes.len());
            self.nodes[i] = self.node(i, self.nodes[i].incarnation + 1);
        }
        if self.one_in(self.faults.retain) {
            let keep = self.rng.usize(..4).min(self.log.len());
            self.first = self.first.max((self.log.len() - keep) as u64);
        }
    }

    fn land(&mut self) {
        let now = self.now;
        let mut i = 0;
        while i < self.flying.len() {
            if self.flying[i].lands <= now {
                self.log.push(self.flying.swap_remove(i).record);
            } else {
                i += 1;
            }
        }
    }

    fn act(&mut self, i: usize) {
        let down = self.down_until > self.now;
        if self.rng.u32(..4) > 0 {
            self.read(i, down);
        }
        let node = &mut self.nodes[i];
        let at = local(node, self.now);
        if let LeaseDecision::Append(record) = node.contender.poll(at) {
            self.append(i, record, down);
        }
    }

    fn read(&mut self, i: usize, down: bool) {
        let end = self.log.len() as u64;
        let node = &mut self.nodes[i];
        let at = local(node, self.now);
        if down {
            node.contender.read_failed();
            return;
        }
        if node.next < self.first {
            node.contender.mark_lost(at, self.first);
            node.next = self.first;
        }
        // A reader may lag.
        let upto = self
            .rng
            .u64(node.next..=end)
            .max(if self.rng.bool() { end } else { 0 });
        for offset in node.next..upto {
            node.contender.fold(at, offset, &self.log[offset as usize]);
        }
        node.next = upto;
        node.contender.read_succeeded(at);
    }

    /// An append may be lost, come late, come twice, or have its answer lost.
    fn append(&mut self, i: usize, record: LeaseRecord, down: bool) {
        let at = local(&self.nodes[i], self.now);
        if down {
            self.nodes[i].contender.append_failed(at);
            return;
        }
        let faulty = self.rng.u32(..100) < self.faults.append;
        let kind = if faulty { self.rng.u32(1..6) } else { 0 };
        let late = self.now + self.rng.u64(..15_000);
        let soon = self.now + self.rng.u64(..100);
        let lands: &[u64] = match kind {
            0 | 1 => &[soon],
            2 => &[],
            3 => &[late],
            4 => &[soon, late],
            _ => &[self.now],
        };
        let flights = lands.iter().map(|lands| Flying {
            record: record.clone(),
            lands: *lands,
        });
        self.flying.extend(flights);
        if (1..=3).contains(&kind) {
            self.nodes[i].contender.append_failed(at);
        }
    }

    /// Each check that passes may start a write; the longest one must have had its effect before
    /// another fencing number's check passes.
    fn check(&mut self, i: usize) -> Result<(), Overlap> {
        let node = &self.nodes[i];
        let Some(new) = node.contender.epoch(local(node, self.now)) else {
            return Ok(());
        };
        if let Some((old, at)) = self.last
            && old != new
        {
            self.epochs += 1;
            if new < old || self.now < at + SEND_MS + FLIGHT_MS {
                let at_ms = self.now;
                return Err(Overlap { at_ms, old, new });
            }
        }
        self.last = Some((new, self.now));
        Ok(())
    }
}

fn local(node: &Node, now: u64) -> Stamp {
    Stamp::default() + Duration::from_millis(now).mul_f64(node.rate)
}
