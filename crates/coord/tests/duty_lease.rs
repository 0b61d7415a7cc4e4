//! The duty lease: at most one VM acts as the holder, fencing tokens only grow, and sealed figures
//! never change.

use {
    clock::Instant,
    coord::{DutyEntry, DutyLease, DutyMember, DutyStep, DutyTiming, SealedWindow},
    std::{collections::BTreeMap, time::Duration},
    types::Epoch,
};

const STEP_MS: u64 = 20;
const VMS: usize = 4;
const TIMING: DutyTiming = DutyTiming {
    lease: Duration::from_millis(3_000),
    hold: Duration::from_millis(1_200),
    renew: Duration::from_millis(600),
    window: Duration::from_secs(5),
};
/// Longest time from a holder's lease check to the effect of its call, connecting included.
const FLIGHT_MS: u64 = 1_200;
const RUNS: u64 = 200;
const STEPS: u64 = 3_000;

struct InFlight {
    arrives_at: u64,
    record: DutyEntry,
    expected_end: u64,
}

struct Vm {
    lease: DutyLease,
    next_turn: u64,
    paused_until: u64,
    partitioned: bool,
}

/// A log with conditional appends, and VMs that pause, are partitioned from the log or lose
/// responses.
struct Simulation {
    rng: fastrand::Rng,
    ms: u64,
    log: Vec<DutyEntry>,
    in_flight: Vec<InFlight>,
    vms: Vec<Vm>,
    /// VM that acted last, its fencing token, and until when its last call may still arrive.
    last_acted: Option<(usize, Epoch, u64)>,
    sealed: BTreeMap<u64, SealedWindow>,
    handovers: u32,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let vms = (0..VMS)
            .map(|index| Vm {
                lease: new_lease(index, 0, rng.u64(..600)),
                next_turn: 0,
                paused_until: 0,
                partitioned: false,
            })
            .collect();
        Self {
            rng,
            ms: 1_000_000,
            log: Vec::new(),
            in_flight: Vec::new(),
            vms,
            last_acted: None,
            sealed: BTreeMap::new(),
            handovers: 0,
        }
    }

    fn now(&self) -> Instant {
        Instant::from_nanos(self.ms * 1_000_000)
    }

    fn append(&mut self, record: DutyEntry, end: u64) -> Option<u64> {
        if end != self.log.len() as u64 {
            return None;
        }
        self.log.push(record);
        Some(end)
    }

    fn step(&mut self) {
        self.ms += STEP_MS;
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |f| f.arrives_at <= self.ms)
            .collect();
        for arrived in due {
            self.append(arrived.record, arrived.expected_end);
        }
        for index in 0..VMS {
            self.inject_fault(index);
            if self.vms[index].paused_until <= self.ms && self.vms[index].next_turn <= self.ms {
                self.vms[index].next_turn = self.ms + 200 + self.rng.u64(..400);
                self.run_vm(index);
            }
        }
    }

    fn inject_fault(&mut self, index: usize) {
        match self.rng.u32(..4_000) {
            0 => self.vms[index].paused_until = self.ms + self.rng.u64(500..8_000),
            1..=3 => self.vms[index].partitioned = !self.vms[index].partitioned,
            4 => {
                let jitter = self.rng.u64(..600);
                let mut restarted = new_lease(index, self.ms, jitter);
                std::mem::swap(&mut self.vms[index].lease, &mut restarted);
            }
            _ => {}
        }
    }

    fn run_vm(&mut self, index: usize) {
        let now = self.now();
        let partitioned = self.vms[index].partitioned;
        if (self.vms[index].lease.must_read() || !self.vms[index].lease.is_holder()) && !partitioned
        {
            let vm = &mut self.vms[index];
            for offset in vm.lease.end_offset()..self.log.len() as u64 {
                vm.lease.fold(now, offset, &self.log[offset as usize]);
            }
            vm.lease.read_to(now, self.log.len() as u64);
        }
        if let DutyStep::Append(record, end) = self.vms[index].lease.next_step(now) {
            self.send(index, record, end);
        }
        if let Some(epoch) = self.vms[index].lease.epoch(now) {
            self.act_as_holder(index, epoch);
        }
    }

    /// Sends an append. The request or the response may be lost, or the append may also arrive
    /// late.
    fn send(&mut self, index: usize, record: DutyEntry, end: u64) {
        let now = self.now();
        self.vms[index].lease.append_started(now, &record);
        let roll = self.rng.u32(..100);
        let partitioned = self.vms[index].partitioned;
        if !partitioned && roll < 5 {
            let arrives_at = self.ms + self.rng.u64(1_000..6_000);
            self.in_flight.push(InFlight {
                arrives_at,
                record: record.clone(),
                expected_end: end,
            });
        }
        let appended = if partitioned || roll < 10 {
            None
        } else {
            self.append(record.clone(), end)
        };
        match appended {
            Some(offset) if roll >= 20 => self.vms[index].lease.fold(now, offset, &record),
            _ => self.vms[index].lease.require_read(),
        }
    }

    fn act_as_holder(&mut self, index: usize, epoch: Epoch) {
        if let Some((other, fence, until)) = self.last_acted {
            assert!(epoch >= fence, "fencing token decreased at {} ms", self.ms);
            if other != index {
                assert!(until < self.ms, "two VMs act at {} ms", self.ms);
                self.handovers += 1;
            }
            assert!(
                other == index || epoch > fence,
                "two VMs have the same fencing token"
            );
        }
        self.last_acted = Some((index, epoch, self.ms + FLIGHT_MS));
        let window = self.ms / 5_000;
        let figures = SealedWindow {
            window,
            counts: [("o".parse().unwrap(), self.rng.u64(..100))].into(),
        };
        if let Some((record, end)) = self.vms[index].lease.seal(self.now(), figures) {
            self.send(index, record, end);
        }
        if let Some(sealed) = self.vms[index].lease.sealed(window) {
            let first = self.sealed.entry(window).or_insert_with(|| sealed.clone());
            assert_eq!(first, sealed, "figures of window {window} changed");
        }
    }
}

fn new_lease(index: usize, ms: u64, jitter: u64) -> DutyLease {
    let now = Instant::from_nanos(ms.max(1_000_000) * 1_000_000);
    let member = DutyMember {
        vm: format!("vm-{index}").parse().unwrap(),
        incarnation: types::Incarnation(ms),
        jitter: Duration::from_millis(jitter),
        first_start: ms == 0,
    };
    DutyLease::new(now, member, TIMING)
}

#[test]
fn at_most_one_vm_acts_and_sealed_figures_never_change() {
    let mut handovers = 0;
    for seed in 0..RUNS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        handovers += simulation.handovers;
    }
    assert!(handovers > 100, "the lease changed hands {handovers} times");
}

#[test]
fn a_vm_acts_again_after_the_faults_end() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS / 2 {
            simulation.step();
        }
        for vm in &mut simulation.vms {
            vm.partitioned = false;
            vm.paused_until = 0;
        }
        let before = simulation.ms;
        let deadline = before + 15_000;
        while simulation.ms < deadline {
            simulation.ms += STEP_MS;
            for index in 0..VMS {
                if simulation.vms[index].next_turn <= simulation.ms {
                    simulation.vms[index].next_turn = simulation.ms + 300;
                    simulation.run_vm(index);
                }
            }
        }
        let last_acted = simulation.last_acted.map_or(0, |(_, _, until)| until);
        assert!(last_acted > deadline - 3_000, "seed {seed}: no VM acts");
    }
}

#[test]
fn holder_stops_acting_before_others_may_claim() {
    let mut holder = new_lease(0, 0, 0);
    let at = |ms: u64| Instant::from_nanos((1_000_000 + ms) * 1_000_000);
    holder.read_to(at(0), 0);
    let DutyStep::Append(claim, 0) = holder.next_step(at(0)) else {
        panic!("a lease that was never held is claimed at once");
    };
    holder.append_started(at(0), &claim);
    holder.fold(at(5), 0, &claim);
    assert_eq!(holder.epoch(at(1_199)), Some(Epoch(0)));
    assert_eq!(holder.epoch(at(1_200)), None);
    let mut other = new_lease(1, 0, 0);
    other.fold(at(5), 0, &claim);
    other.read_to(at(5), 1);
    assert!(matches!(other.next_step(at(3_004)), DutyStep::Wait(_)));
    assert!(matches!(other.next_step(at(3_005)), DutyStep::Append(..)));
}
