//! Simulation of the lease protocol: a log, contenders whose clocks run at different rates, and
//! faults.

use {
    clock::Instant,
    coord::{Contender, Holder, LeaseDecision, LeaseId, LeaseRecord, LeaseTiming},
    fastrand::Rng,
    std::time::Duration,
    types::{Epoch, Incarnation},
};

/// Length of one step of true time, in milliseconds.
pub(crate) const STEP_MS: u64 = 10;
/// Longest time of a guarded write: from the lease check to the send, and from the send to its
/// effect.
const SEND_MS: u64 = 500;
const FLIGHT_MS: u64 = 2_500;
/// Rates of the nodes' clocks; the fastest and the slowest are 1% apart.
const CLOCK_RATES: [f64; 4] = [0.995, 1.005, 1.0, 1.005];

/// How often each fault happens: once in this many steps on average, never if 0.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    pub(crate) pause: u32,
    /// Outage of the log.
    pub(crate) outage: u32,
    pub(crate) restart: u32,
    /// Loss of old records to retention.
    pub(crate) retain: u32,
    /// Appends that fail in one of several ways, in percent.
    pub(crate) append: u32,
}

struct Node {
    contender: Contender,
    rate: f64,
    next: u64,
    paused_until: u64,
    incarnation: u64,
}

struct InFlight {
    record: LeaseRecord,
    arrives_at: u64,
}

/// Two holders that could act at the same time.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Overlap {
    pub(crate) at_ms: u64,
    pub(crate) old: Epoch,
    pub(crate) new: Epoch,
}

pub(crate) struct Simulation {
    rng: Rng,
    timing: LeaseTiming,
    faults: Faults,
    pub(crate) now: u64,
    first: u64,
    log: Vec<LeaseRecord>,
    in_flight: Vec<InFlight>,
    nodes: Vec<Node>,
    down_until: u64,
    /// Fencing token and time of the last successful lease check.
    last_check: Option<(Epoch, u64)>,
    /// How often the fencing token changed.
    pub(crate) handovers: usize,
}

impl Simulation {
    pub(crate) fn new(seed: u64, timing: LeaseTiming, faults: Faults) -> Self {
        let mut simulation = Self {
            rng: Rng::with_seed(seed),
            timing,
            faults,
            now: 1_000,
            first: 0,
            log: Vec::new(),
            in_flight: Vec::new(),
            nodes: Vec::new(),
            down_until: 0,
            last_check: None,
            handovers: 0,
        };
        let nodes = (0..CLOCK_RATES.len())
            .map(|i| simulation.node(i, 1))
            .collect();
        simulation.nodes = nodes;
        simulation
    }

    fn node(&mut self, index: usize, incarnation: u64) -> Node {
        let holder = Holder {
            vm: format!("vm-{index}").parse().unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let lease = LeaseId::zonal("orders", "a".parse().unwrap());
        Node {
            contender: Contender::new(lease, holder, self.timing, self.rng.u64(..)),
            rate: CLOCK_RATES[index],
            next: 0,
            paused_until: 0,
            incarnation,
        }
    }

    fn one_in(&mut self, n: u32) -> bool {
        n > 0 && self.rng.u32(..n) == 0
    }

    /// Sets how often faults happen from now on.
    pub(crate) fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Whether any node holds the lease.
    pub(crate) fn is_held(&self) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|n| n.contender.epoch(local_time(n, self.now)).is_some())
    }

    /// Advances true time by one step. Fails if two holders could act at the same time.
    pub(crate) fn step(&mut self) -> Result<(), Overlap> {
        self.now += STEP_MS;
        self.inject_faults();
        self.deliver_due();
        for i in 0..self.nodes.len() {
            if self.nodes[i].paused_until <= self.now {
                self.run_node(i);
            }
            self.check_holder(i)?;
        }
        Ok(())
    }

    fn inject_faults(&mut self) {
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

    /// Appends the records in flight that have arrived.
    fn deliver_due(&mut self) {
        let now = self.now;
        let mut i = 0;
        while i < self.in_flight.len() {
            if self.in_flight[i].arrives_at <= now {
                self.log.push(self.in_flight.swap_remove(i).record);
            } else {
                i += 1;
            }
        }
    }

    fn run_node(&mut self, i: usize) {
        let down = self.down_until > self.now;
        if self.rng.u32(..4) > 0 {
            self.read(i, down);
        }
        let node = &mut self.nodes[i];
        let at = local_time(node, self.now);
        if let LeaseDecision::Append(record) = node.contender.poll(at) {
            self.append(i, record, down);
        }
    }

    fn read(&mut self, i: usize, down: bool) {
        let end = self.log.len() as u64;
        let node = &mut self.nodes[i];
        let at = local_time(node, self.now);
        if down {
            node.contender.read_failed();
            return;
        }
        if node.next < self.first {
            node.contender.mark_lost(at, self.first);
            node.next = self.first;
        }
        // A reader may lag behind the end of the log.
        let read_end = self
            .rng
            .u64(node.next..=end)
            .max(if self.rng.bool() { end } else { 0 });
        for offset in node.next..read_end {
            node.contender.fold(at, offset, &self.log[offset as usize]);
        }
        node.next = read_end;
        node.contender.read_succeeded(at);
    }

    /// Sends an append. It may be lost, arrive late, arrive twice, or have its response lost.
    fn append(&mut self, i: usize, record: LeaseRecord, down: bool) {
        let at = local_time(&self.nodes[i], self.now);
        if down {
            self.nodes[i].contender.append_failed(at);
            return;
        }
        let faulty = self.rng.u32(..100) < self.faults.append;
        let kind = if faulty { self.rng.u32(1..6) } else { 0 };
        let late = self.now + self.rng.u64(..15_000);
        let soon = self.now + self.rng.u64(..100);
        let arrives_at: &[u64] = match kind {
            0 | 1 => &[soon],
            2 => &[],
            3 => &[late],
            4 => &[soon, late],
            _ => &[self.now],
        };
        let copies = arrives_at.iter().map(|arrives_at| InFlight {
            record: record.clone(),
            arrives_at: *arrives_at,
        });
        self.in_flight.extend(copies);
        if (1..=3).contains(&kind) {
            self.nodes[i].contender.append_failed(at);
        }
    }

    /// Checks the lease on one node. Each successful check may start a write, and the longest write
    /// must have had its effect before a check succeeds with another fencing token.
    fn check_holder(&mut self, i: usize) -> Result<(), Overlap> {
        let node = &self.nodes[i];
        let Some(new) = node.contender.epoch(local_time(node, self.now)) else {
            return Ok(());
        };
        if let Some((old, at)) = self.last_check
            && old != new
        {
            self.handovers += 1;
            if new < old || self.now < at + SEND_MS + FLIGHT_MS {
                let at_ms = self.now;
                return Err(Overlap { at_ms, old, new });
            }
        }
        self.last_check = Some((new, self.now));
        Ok(())
    }
}

/// Time on the node's clock.
fn local_time(node: &Node, now: u64) -> Instant {
    Instant::default() + Duration::from_millis(now).mul_f64(node.rate)
}
