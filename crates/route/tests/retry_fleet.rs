//! Fleets of 8 to 300 VMs that share a retry budget, with endpoints that fail part of the requests.

use {
    clock::Instant,
    fastrand::Rng,
    route::{RetryReserve, SlidingRetryBudget},
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const RESERVE: f64 = 56.0;
/// Fleet sizes.
const FLEETS: [u32; 4] = [8, 32, 60, 300];
/// Requests a second, and share of them that fail.
const RATE: f64 = 120.0;
const FAILURES: f64 = 0.45;
/// Smallest part of the bound that callers get where more requests fail.
const MIN_USED: f64 = 0.5;
const TICK: Duration = Duration::from_millis(5);
/// Time until all VMs observe a change of the fleet.
const NEWS_TIME: Duration = Duration::from_secs(1);

struct Vm {
    reserve: RetryReserve,
    /// Made with the first request, as by the product.
    budget: Option<SlidingRetryBudget>,
}

impl Vm {
    fn new(now: Instant, rounding: f64) -> Self {
        Self {
            reserve: RetryReserve::new(now, (RESERVE, WINDOW), false, rounding),
            budget: None,
        }
    }

    /// The budget, with the reserve that the VM has now.
    fn budget(&mut self, now: Instant) -> &mut SlidingRetryBudget {
        let share = self.reserve.share(now);
        let new = || SlidingRetryBudget::new(RATIO, WINDOW, share);
        let budget = self.budget.get_or_insert_with(new);
        budget.set_reserve(share);
        budget.set_rounding(self.reserve.rounding());
        budget
    }
}

struct Fleet {
    now: Instant,
    vms: Vec<Vm>,
    rng: Rng,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Fleet {
    /// A fleet that has run for a minute without requests.
    fn new(vms: u32) -> Self {
        let now = Instant::from_nanos(1 << 40);
        let mut rng = Rng::with_seed(u64::from(vms));
        let mut fleet = Self {
            now,
            vms: (0..vms).map(|_| Vm::new(now, rng.f64())).collect(),
            rng,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        fleet.tell(0..vms as usize, vms);
        fleet.now = now + Duration::from_secs(60);
        fleet
    }

    /// Sets the number of live VMs that these VMs observe.
    fn tell(&mut self, vms: std::ops::Range<usize>, count: u32) {
        let now = self.now;
        for vm in &mut self.vms[vms] {
            vm.reserve.note_vms(now, count);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            if self.rng.f64() > RATE * TICK.as_secs_f64() {
                continue;
            }
            let at = self.rng.usize(..self.vms.len());
            let budget = self.vms[at].budget(self.now);
            budget.deposit(self.now);
            self.requests.push(self.now);
            if self.rng.f64() < FAILURES && budget.try_withdraw(self.now) {
                self.retries.push(self.now);
            }
        }
    }

    fn restart(&mut self, vms: std::ops::Range<usize>) {
        let now = self.now;
        for vm in &mut self.vms[vms] {
            *vm = Vm::new(now, self.rng.f64());
        }
    }

    /// Checks each window that begins with a retry.
    fn check(&self, name: &str) {
        let count = |times: &[Instant], from: Instant| {
            let since = times.partition_point(|t| *t < from);
            let until = times.partition_point(|t| *t < from + WINDOW);
            (until - since) as f64
        };
        let vms = self.vms.len();
        let excess = |from: &Instant| {
            let allowed = RATIO * count(&self.requests, *from) + RESERVE;
            count(&self.retries, *from) - allowed
        };
        let worst = self.retries.iter().map(excess).fold(f64::MIN, f64::max);
        let (requests, retries) = (self.requests.len(), self.retries.len());
        println!(
            "{name}, {vms} VMs: {retries} retries of {requests} requests, {worst:.1} over the bound"
        );
        assert!(retries > 0, "{name}, {vms} VMs");
        assert!(worst <= 0.0, "{name}, {vms} VMs: {worst}");
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against shares that ignore the size of the fleet.
#[test]
fn fleet_keeps_the_bound() {
    for vms in FLEETS {
        let mut fleet = Fleet::new(vms);
        fleet.run(secs(30));
        fleet.check("steady");
        // A share of less than one retry still counts.
        let windows = 3.0;
        let allowed = RATIO * fleet.requests.len() as f64 + RESERVE * windows;
        let used = fleet.retries.len() as f64 / allowed;
        assert!(used > MIN_USED, "{vms} VMs: {used}");
    }
}

/// Guards against a second share in the window of a restart.
#[test]
fn restarts_of_all_vms_keep_the_bound() {
    for vms in FLEETS {
        let mut fleet = Fleet::new(vms);
        fleet.run(secs(8));
        for _ in 0..3 {
            fleet.restart(0..vms as usize);
            // They find each other by and by.
            for known in [1, vms / 2, vms] {
                fleet.tell(0..vms as usize, known);
                fleet.run(secs(2));
            }
        }
        fleet.run(secs(20));
        fleet.check("restarts of all");
    }
}

/// As above, one VM after the other.
#[test]
fn rolling_restarts_keep_the_bound() {
    for vms in FLEETS {
        let mut fleet = Fleet::new(vms);
        fleet.run(secs(5));
        for vm in 0..vms as usize {
            fleet.restart(vm..vm + 1);
            fleet.run(NEWS_TIME.min(secs(40) / vms));
            fleet.tell(vm..vm + 1, vms);
        }
        fleet.run(secs(20));
        fleet.check("rolling restart");
    }
}

/// Guards against larger shares on both sides of a partition.
#[test]
fn fleet_that_is_cut_in_two_keeps_the_bound() {
    for vms in FLEETS {
        let mut fleet = Fleet::new(vms);
        fleet.run(secs(5));
        fleet.tell(0..vms as usize, vms / 2);
        fleet.run(secs(30));
        fleet.check("cut");
    }
}

/// Guards against shares of new VMs before the others have reduced theirs.
#[test]
fn fleet_that_grows_keeps_the_bound() {
    for vms in FLEETS {
        let mut fleet = Fleet::new(vms);
        fleet.run(secs(8));
        let now = fleet.now;
        let started = (0..vms).map(|_| Vm::new(now, fleet.rng.f64()));
        fleet.vms.extend(started);
        fleet.run(NEWS_TIME);
        fleet.tell(0..2 * vms as usize, 2 * vms);
        fleet.run(secs(25));
        fleet.check("growing");
    }
}

/// Guards against missing retries in the first window of a new system.
#[test]
fn reserve_is_available_at_the_first_start() {
    let start = Instant::from_nanos(1 << 40);
    let mut reserve = RetryReserve::new(start, (RESERVE, WINDOW), true, 0.0);
    assert_eq!(reserve.share(start), RESERVE / 8.0);
    reserve.note_vms(start, 32);
    assert_eq!(reserve.share(start), RESERVE / 32.0);
}

/// Guards against VMs that count forever after their removal.
#[test]
fn reserve_is_shared_anew_after_an_hour() {
    let start = Instant::from_nanos(1 << 40);
    let mut reserve = RetryReserve::new(start, (RESERVE, WINDOW), false, 0.0);
    assert!(reserve.note_vms(start, 56));
    assert_eq!(reserve.share(start), 0.0);
    assert_eq!(reserve.share(start + WINDOW), 1.0);
    assert!(!reserve.note_vms(start + secs(60), 14));
    assert_eq!(reserve.share(start + secs(60)), 1.0);
    assert!(reserve.note_vms(start + secs(3_601), 14));
    assert_eq!(reserve.share(start + secs(3_601)), 4.0);
}
