//! The duty seat: never two that act, fences that grow, figures that stay.

use {
    clock::Stamp,
    coord::{DutyLease, DutyRecord, DutyStep, DutyTiming, SealedWindow},
    std::{collections::BTreeMap, time::Duration},
    types::Epoch,
};

const STEP_MS: u64 = 20;
const VMS: usize = 4;
const TIMES: DutyTiming = DutyTiming {
    lease: Duration::from_millis(3_000),
    hold: Duration::from_millis(1_200),
    renew: Duration::from_millis(600),
};
/// Longest time from a holder's check to the effect of its call: connecting and the call.
const FLIGHT_MS: u64 = 1_200;
const WALKS: u64 = 200;
const STEPS: u64 = 3_000;

struct Flying {
    lands: u64,
    record: DutyRecord,
    at: u64,
}

struct Vm {
    seat: DutyLease,
    next: u64,
    paused: u64,
    cut: bool,
}

/// A log with conditional appends, and VMs that pause, are cut off and lose answers.
struct World {
    rng: fastrand::Rng,
    ms: u64,
    log: Vec<DutyRecord>,
    late: Vec<Flying>,
    vms: Vec<Vm>,
    /// Holder that acted last, its fence, and when its last call may still arrive.
    acted: Option<(usize, Epoch, u64)>,
    sealed: BTreeMap<u64, SealedWindow>,
    changes: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let vms = (0..VMS)
            .map(|at| Vm {
                seat: seat(at, 0, rng.u64(..600)),
                next: 0,
                paused: 0,
                cut: false,
            })
            .collect();
        Self {
            rng,
            ms: 1_000_000,
            log: Vec::new(),
            late: Vec::new(),
            vms,
            acted: None,
            sealed: BTreeMap::new(),
            changes: 0,
        }
    }

    fn now(&self) -> Stamp {
        Stamp::from_nanos(self.ms * 1_000_000)
    }

    fn append(&mut self, record: DutyRecord, at: u64) -> Option<u64> {
        if at != self.log.len() as u64 {
            return None;
        }
        self.log.push(record);
        Some(at)
    }

    fn step(&mut self) {
        self.ms += STEP_MS;
        let due: Vec<_> = self.late.extract_if(.., |f| f.lands <= self.ms).collect();
        for flying in due {
            self.append(flying.record, flying.at);
        }
        for at in 0..VMS {
            self.fault(at);
            if self.vms[at].paused <= self.ms && self.vms[at].next <= self.ms {
                self.vms[at].next = self.ms + 200 + self.rng.u64(..400);
                self.turn(at);
            }
        }
    }

    fn fault(&mut self, at: usize) {
        match self.rng.u32(..4_000) {
            0 => self.vms[at].paused = self.ms + self.rng.u64(500..8_000),
            1..=3 => self.vms[at].cut = !self.vms[at].cut,
            4 => {
                let jitter = self.rng.u64(..600);
                let mut fresh = seat(at, self.ms, jitter);
                std::mem::swap(&mut self.vms[at].seat, &mut fresh);
            }
            _ => {}
        }
    }

    fn turn(&mut self, at: usize) {
        let now = self.now();
        let cut = self.vms[at].cut;
        if (self.vms[at].seat.must_read() || !self.vms[at].seat.is_holder()) && !cut {
            let vm = &mut self.vms[at];
            for offset in vm.seat.end_offset()..self.log.len() as u64 {
                vm.seat.fold(now, offset, &self.log[offset as usize]);
            }
            vm.seat.read_to(self.log.len() as u64);
        }
        if let DutyStep::Append(record, end) = self.vms[at].seat.next_step(now) {
            self.send(at, record, end);
        }
        if let Some(epoch) = self.vms[at].seat.epoch(now) {
            self.act(at, epoch);
        }
    }

    /// An append that may be lost on the way, on the way back, or carried out late.
    fn send(&mut self, at: usize, record: DutyRecord, end: u64) {
        let now = self.now();
        self.vms[at].seat.append_started(now);
        let fate = self.rng.u32(..100);
        let cut = self.vms[at].cut;
        if !cut && fate < 5 {
            let lands = self.ms + self.rng.u64(1_000..6_000);
            self.late.push(Flying {
                lands,
                record: record.clone(),
                at: end,
            });
        }
        let landed = if cut || fate < 10 {
            None
        } else {
            self.append(record.clone(), end)
        };
        match landed {
            Some(offset) if fate >= 20 => self.vms[at].seat.fold(now, offset, &record),
            _ => self.vms[at].seat.require_read(),
        }
    }

    fn act(&mut self, at: usize, epoch: Epoch) {
        if let Some((other, fence, until)) = self.acted {
            assert!(epoch >= fence, "fence went back at {} ms", self.ms);
            if other != at {
                assert!(until < self.ms, "two act at {} ms", self.ms);
                self.changes += 1;
            }
            assert!(other == at || epoch > fence, "one fence for two");
        }
        self.acted = Some((at, epoch, self.ms + FLIGHT_MS));
        let window = self.ms / 5_000;
        let own = SealedWindow {
            window,
            counts: [("o".parse().unwrap(), self.rng.u64(..100))].into(),
        };
        if let Some((record, end)) = self.vms[at].seat.seal(self.now(), own) {
            self.send(at, record, end);
        }
        if let Some(sealed) = self.vms[at].seat.sealed(window) {
            let first = self.sealed.entry(window).or_insert_with(|| sealed.clone());
            assert_eq!(first, sealed, "figures of window {window} changed");
        }
    }
}

fn seat(at: usize, ms: u64, jitter: u64) -> DutyLease {
    let now = Stamp::from_nanos(ms.max(1_000_000) * 1_000_000);
    let vm = format!("vm-{at}").parse().unwrap();
    let jitter = Duration::from_millis(jitter);
    DutyLease::new(now, vm, types::Incarnation(ms), TIMES, jitter)
}

#[test]
fn never_two_that_act_and_figures_stay() {
    let mut changes = 0;
    for seed in 0..WALKS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        changes += world.changes;
    }
    assert!(changes > 100, "the seat changed hands {changes} times");
}

#[test]
fn someone_acts_again_after_the_faults() {
    for seed in 0..50 {
        let mut world = World::new(seed);
        for _ in 0..STEPS / 2 {
            world.step();
        }
        for vm in &mut world.vms {
            vm.cut = false;
            vm.paused = 0;
        }
        let before = world.ms;
        let lasts = before + 15_000;
        while world.ms < lasts {
            world.ms += STEP_MS;
            for at in 0..VMS {
                if world.vms[at].next <= world.ms {
                    world.vms[at].next = world.ms + 300;
                    world.turn(at);
                }
            }
        }
        let acted = world.acted.map_or(0, |(_, _, until)| until);
        assert!(acted > lasts - 3_000, "seed {seed}: nobody acts");
    }
}

#[test]
fn holder_stops_before_others_may_claim() {
    let mut holder = seat(0, 0, 0);
    let at = |ms: u64| Stamp::from_nanos((1_000_000 + ms) * 1_000_000);
    holder.read_to(0);
    let DutyStep::Append(claim, 0) = holder.next_step(at(0)) else {
        panic!("an empty seat is claimed at once");
    };
    holder.append_started(at(0));
    holder.fold(at(5), 0, &claim);
    assert_eq!(holder.epoch(at(1_199)), Some(Epoch(0)));
    assert_eq!(holder.epoch(at(1_200)), None);
    let mut other = seat(1, 0, 0);
    other.fold(at(5), 0, &claim);
    other.read_to(1);
    assert!(matches!(other.next_step(at(3_004)), DutyStep::Wait(_)));
    assert!(matches!(other.next_step(at(3_005)), DutyStep::Append(..)));
}
