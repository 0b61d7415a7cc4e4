//! Counts of many VMs, a store with outages, and the VM that seals windows, in simulated time.

use {
    clock::Instant,
    fastrand::Rng,
    std::{collections::BTreeMap, time::Duration},
    types::{Incarnation, OrgId},
    usage::{SealTiming, WindowCountRecord, WindowCounter, WindowTotals},
};

const TICK: u64 = 50;
const WINDOW: u64 = 5_000;
const DUE: Duration = Duration::from_secs(10);
/// Intervals in milliseconds: of storing counts, of polls of the holder, and of retries.
const STORE: u64 = 2_000;
const POLL: u64 = 250;
const RETRY: u64 = 500;
/// Time of a call that fails because nothing answers.
const CALL_TIMEOUT: u64 = 600;
/// Share of appends that are done although they seem to have failed.
const LOST_ANSWERS: f64 = 0.05;
const LENGTH: u64 = 60_000;

struct Vm {
    counter: WindowCounter,
    unstored: Vec<WindowCountRecord>,
    next_store: u64,
    dies: u64,
}

/// Times in which the store answers nobody, and zones that it doesn't answer for a time.
struct Outages {
    all: Vec<(u64, u64)>,
    zones: Vec<(u64, u64, usize)>,
}

impl Outages {
    fn reaches(&self, at: u64, zone: usize) -> bool {
        let down = self.all.iter().any(|(from, to)| (*from..*to).contains(&at));
        let cut = |(from, to, z): &(u64, u64, usize)| *z == zone && (*from..*to).contains(&at);
        !down && !self.zones.iter().any(cut)
    }
}

struct World {
    vms: Vec<Vm>,
    log: Vec<WindowCountRecord>,
    /// Requests by window that all their VMs lived to store.
    truth: BTreeMap<u64, u64>,
    sealed: BTreeMap<u64, (u64, u64)>,
    rng: Rng,
}

fn org() -> OrgId {
    "o".parse().unwrap()
}

fn instant(ms: u64) -> Instant {
    Instant::from_nanos((1_000_000 + ms) * 1_000_000)
}

impl World {
    fn new(vms: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let vm = |rng: &mut Rng| Vm {
            counter: WindowCounter::default(),
            unstored: Vec::new(),
            next_store: rng.u64(0..STORE),
            dies: u64::MAX,
        };
        Self {
            vms: (0..vms).map(|_| vm(&mut rng)).collect(),
            log: Vec::new(),
            truth: BTreeMap::new(),
            sealed: BTreeMap::new(),
            rng,
        }
    }

    fn store(&mut self, now: u64, at: usize, reachable: bool) {
        let vm = &mut self.vms[at];
        let changed = vm.counter.take_changed(now / WINDOW);
        let record = |c: usage::WindowCounts| WindowCountRecord {
            vm: format!("vm-{at}").parse().unwrap(),
            incarnation: Incarnation(1),
            window: c.window,
            counts: c.counts,
            complete: c.complete,
            stopped: false,
        };
        vm.unstored.extend(changed.into_iter().map(record));
        let answered = self.rng.f64() >= LOST_ANSWERS;
        if reachable {
            self.log.extend(vm.unstored.iter().cloned());
        }
        if reachable && answered {
            vm.unstored.clear();
            vm.next_store = now + STORE;
        } else {
            vm.next_store = now + CALL_TIMEOUT + self.rng.u64(0..RETRY);
        }
    }

    /// Runs all VMs; the holder is a VM of zone 0.
    fn run(&mut self, outages: &Outages, zones: usize) {
        let mut totals = WindowTotals::default();
        let (mut read, mut next_poll) = (0, 0);
        let (mut readable_since, mut last_look) = (instant(0), Instant::default());
        for now in (0..LENGTH).step_by(TICK as usize) {
            for at in 0..self.vms.len() {
                if self.vms[at].dies <= now {
                    continue;
                }
                if self.rng.f64() < 0.2 {
                    let window = now / WINDOW;
                    self.vms[at].counter.count(window, &org());
                    *self.truth.entry(window).or_default() += 1;
                }
                if self.vms[at].next_store <= now {
                    self.store(now, at, outages.reaches(now, at % zones));
                }
            }
            if now < next_poll {
                continue;
            }
            next_poll = now + POLL;
            let open = (0..now / WINDOW).find(|w| !self.sealed.contains_key(w));
            let Some(window) = open else { continue };
            let ended = now - (window + 1) * WINDOW;
            let timing = SealTiming {
                ended: Duration::from_millis(ended),
                due: DUE,
                readable_since,
                last_look,
            };
            if !timing.should_look(instant(now)) {
                continue;
            }
            last_look = instant(now);
            if !outages.reaches(now, 0) {
                readable_since = instant(now + CALL_TIMEOUT);
                next_poll = now + CALL_TIMEOUT;
                continue;
            }
            self.log.drain(read..).for_each(|r| totals.fold(r));
            read = self.log.len();
            if totals.missing(window).is_empty() || timing.is_overdue(instant(now), true) {
                last_look = Instant::default();
                let total = totals.total(window).values().sum();
                self.sealed.insert(window, (total, ended));
            }
        }
    }

    /// Windows with wrong figures, and windows that were sealed after their report was due.
    fn wrong_and_late(&self) -> (usize, usize) {
        let windows = self.sealed.iter();
        let wrong =
            windows.filter(|(w, (total, _))| *total != self.truth.get(w).copied().unwrap_or(0));
        let late = self
            .sealed
            .values()
            .filter(|(_, ended)| u128::from(*ended) > DUE.as_millis());
        (wrong.count(), late.count())
    }
}

fn run(vms: usize, seed: u64, outages: &Outages) -> World {
    let mut world = World::new(vms, seed);
    world.run(outages, 4);
    world
}

/// The counts of a window that ended in an outage were sealed while VMs were storing them.
#[test]
fn windows_that_end_in_an_outage_have_all_counts() {
    let mut late = 0;
    for seed in 0..2_000 {
        let mut rng = Rng::with_seed(seed);
        let from = rng.u64(8_000..12_000);
        let outages = Outages {
            all: vec![(from, from + rng.u64(500..6_000))],
            zones: Vec::new(),
        };
        let world = run(8, seed, &outages);
        let (wrong, too_late) = world.wrong_and_late();
        assert_eq!(wrong, 0, "seed {seed}: {:?}", world.sealed);
        late += too_late;
    }
    assert_eq!(late, 0);
}

/// An outage longer than a report is due costs reports that are late, not ones that are wrong.
#[test]
fn windows_that_end_in_a_long_outage_are_late_and_right() {
    for seed in 0..500 {
        let outages = Outages {
            all: vec![(8_000, 8_000 + 12_000 + seed * 10)],
            zones: Vec::new(),
        };
        let world = run(8, seed, &outages);
        assert_eq!(
            world.wrong_and_late().0,
            0,
            "seed {seed}: {:?}",
            world.sealed
        );
    }
}

/// A zone that the store doesn't answer holds back its counts, and only those.
#[test]
fn counts_of_a_zone_without_the_store_are_waited_for_until_reports_are_due() {
    for seed in 0..500 {
        let mut rng = Rng::with_seed(seed);
        let from = rng.u64(8_000..12_000);
        let outages = Outages {
            all: Vec::new(),
            zones: vec![(from, from + rng.u64(500..5_000), 1)],
        };
        let world = run(8, seed, &outages);
        assert_eq!(
            world.wrong_and_late(),
            (0, 0),
            "seed {seed}: {:?}",
            world.sealed
        );
    }
}

/// VMs that end without storing their counts made all later reports late.
#[test]
fn vms_that_die_hold_up_no_window_beyond_its_due_time() {
    for seed in 0..500 {
        let mut world = World::new(8, seed);
        world.vms[3].dies = 13_000;
        let outages = Outages {
            all: Vec::new(),
            zones: Vec::new(),
        };
        world.run(&outages, 4);
        assert_eq!(world.wrong_and_late().1, 0, "seed {seed}");
        let times: Vec<_> = world.sealed.values().map(|(_, ended)| *ended).collect();
        // On a day without trouble, reports don't wait.
        assert!(
            times[0] <= 5_000 && times[6] <= 5_000,
            "seed {seed}: {times:?}"
        );
    }
}
