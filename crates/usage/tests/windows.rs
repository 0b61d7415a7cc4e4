//! Properties of usage windows over random interleavings of two sealers, entries and faults.

use {
    async_io::block_on,
    clock::TestClock,
    coord::Tenure,
    platform::{
        Appended, Asked, Log, Page, PlatformError, Record, Reports, Stream, UsageLine, UsageReport,
    },
    quickcheck::{Gen, QuickCheck, TestResult},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    types::{Epoch, Incarnation, OrgId, Tokens, Verdict, VmId},
    usage::{Collect, Ledger, PullRequest, Pulled, Sealer, SealerParts, Source, UsageSettings},
};

const SEED: u64 = 6;
const CASES: u64 = 3_000;
const OPS: usize = 200;
const ORGS: [&str; 3] = ["rice-mill", "tea-estate", "directorate"];
const VMS: [&str; 2] = ["vm-1", "vm-2"];

/// What the next call of a kind comes to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    Fine,
    AnswerLost,
    NoEffect,
    /// The effect comes only when the call is delivered later.
    InFlight,
}

struct World {
    log: Vec<String>,
    flying: Vec<String>,
    append: Next,
    report: Next,
    unreadable: bool,
    /// The lease goes to the other VM at the next append.
    lapsing: bool,
    /// The next collection is answered as an earlier one was.
    stale: bool,
    holder: Option<usize>,
    epoch: u64,
    entries: Vec<Ledger>,
    cut: [bool; 2],
    reports: Vec<UsageReport>,
    counted: BTreeMap<OrgId, u64>,
    crashed: bool,
    broken: Option<String>,
}

type Shared = Arc<Mutex<World>>;

fn locked(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap()
}

fn vm(at: usize) -> VmId {
    VMS[at].parse().unwrap()
}

fn source(at: usize, incarnation: u64) -> Source {
    Source {
        vm: vm(at),
        incarnation: Incarnation(incarnation),
    }
}

fn lost<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Unreachable(Verdict::MayHaveRun))
}

/// One VM's view of the world.
struct View(Shared, usize);

impl Log for View {
    fn append<'a>(&'a self, _: Stream, record: &'a str) -> Asked<'a, Appended> {
        Box::pin(async move {
            let mut world = locked(&self.0);
            if std::mem::take(&mut world.lapsing) {
                world.holder = Some(1 - self.1);
                world.epoch += 1;
            }
            let next = std::mem::replace(&mut world.append, Next::Fine);
            match next {
                Next::NoEffect => return Err(PlatformError::Unreachable(Verdict::NotRun)),
                Next::InFlight => {
                    world.flying.push(record.into());
                    return lost();
                }
                Next::Fine | Next::AnswerLost => world.log.push(record.into()),
            }
            if next == Next::AnswerLost {
                return lost();
            }
            let offset = world.log.len() as u64 - 1;
            Ok(Appended { offset })
        })
    }

    fn read(&self, _: Stream, from: u64, _: Duration) -> Asked<'_, Page> {
        Box::pin(async move {
            let world = locked(&self.0);
            if world.unreadable {
                return lost();
            }
            let all = world.log.iter().enumerate().skip(from as usize);
            let records = all.map(|(offset, data)| Record {
                offset: offset as u64,
                at_ms: 0,
                data: data.as_str().into(),
            });
            Ok(Page {
                first: 0,
                next: world.log.len() as u64,
                records: records.collect(),
            })
        })
    }
}

impl Reports for View {
    fn report<'a>(&'a self, report: &'a UsageReport) -> Asked<'a, ()> {
        Box::pin(async move {
            let mut world = locked(&self.0);
            if world.holder != Some(self.1) {
                world.broken = Some(format!("{} reported without the lease", report.sender));
            }
            match std::mem::replace(&mut world.report, Next::Fine) {
                Next::NoEffect => Err(PlatformError::Unreachable(Verdict::NotRun)),
                Next::Fine => {
                    world.reports.push(report.clone());
                    Ok(())
                }
                Next::AnswerLost | Next::InFlight => {
                    world.reports.push(report.clone());
                    lost()
                }
            }
        })
    }
}

impl Tenure for View {
    fn epoch(&self) -> Option<Epoch> {
        let world = locked(&self.0);
        (world.holder == Some(self.1)).then_some(Epoch(world.epoch))
    }
}

impl Collect for View {
    fn vms(&self) -> Vec<VmId> {
        (0..VMS.len()).map(vm).collect()
    }

    fn pull(&self, vm: VmId, mut request: PullRequest) -> Pulled<'_> {
        Box::pin(async move {
            let mut world = locked(&self.0);
            if std::mem::take(&mut world.stale) {
                request.have = 0;
            }
            let at = VMS.iter().position(|v| *v == vm.as_str())?;
            if world.cut[at] {
                return None;
            }
            Some(world.entries[at].answer(&request))
        })
    }
}

struct Run {
    world: Shared,
    clock: TestClock,
    sealers: Vec<Sealer>,
    starts: u64,
}

impl Run {
    fn new() -> Self {
        let world = Arc::new(Mutex::new(World {
            log: Vec::new(),
            flying: Vec::new(),
            append: Next::Fine,
            report: Next::Fine,
            unreadable: false,
            lapsing: false,
            stale: false,
            holder: Some(0),
            epoch: 1,
            entries: (0..VMS.len()).map(|i| Ledger::new(source(i, 1))).collect(),
            cut: [false; 2],
            reports: Vec::new(),
            counted: BTreeMap::new(),
            crashed: false,
            broken: None,
        }));
        let clock = TestClock::default();
        clock.advance(Duration::from_secs(1_000_000));
        let mut run = Self {
            world,
            clock,
            sealers: Vec::new(),
            starts: 1,
        };
        run.sealers = (0..VMS.len()).map(|i| run.sealer(i)).collect();
        run
    }

    fn sealer(&self, at: usize) -> Sealer {
        let view = || Arc::new(View(self.world.clone(), at));
        Sealer::new(SealerParts {
            vm: vm(at),
            zone: "kerala-west-a".parse().unwrap(),
            log: view(),
            reports: view(),
            tenure: view(),
            entries: view(),
            clock: Arc::new(self.clock.clone()),
            settings: UsageSettings {
                window_ms: 1_000,
                grace_ms: 200,
                pull_ms: 100,
            },
        })
    }

    fn step(&mut self, op: u8) {
        let at = usize::from(op / 32) % VMS.len();
        match op % 20 {
            0..=3 => self.count(at, usize::from(op) % ORGS.len()),
            4..=6 => block_on(self.sealers[at].tick()),
            7 | 8 => self.clock.advance(Duration::from_millis(400)),
            9 => {
                let mut world = locked(&self.world);
                world.holder = Some(at);
                world.epoch += 1;
            }
            10 => locked(&self.world).holder = None,
            11 => locked(&self.world).append = Next::AnswerLost,
            12 => locked(&self.world).append = Next::InFlight,
            13 => {
                let mut world = locked(&self.world);
                let flying = std::mem::take(&mut world.flying);
                world.log.extend(flying);
            }
            14 => {
                let next = [Next::AnswerLost, Next::NoEffect][at];
                locked(&self.world).report = next;
            }
            15 => self.sealers[at] = self.sealer(at),
            16 => self.crash_entry(at),
            17 => locked(&self.world).lapsing = true,
            18 => locked(&self.world).stale = true,
            _ => {
                let mut world = locked(&self.world);
                world.cut[at] = !world.cut[at];
                world.unreadable = !world.unreadable;
            }
        }
    }

    fn count(&self, at: usize, org: usize) {
        let mut world = locked(&self.world);
        let org: OrgId = ORGS[org].parse().unwrap();
        world.entries[at].count(&org, Tokens(7));
        *world.counted.entry(org).or_default() += 1;
    }

    fn crash_entry(&mut self, at: usize) {
        self.starts += 1;
        let mut world = locked(&self.world);
        world.entries[at] = Ledger::new(source(at, self.starts));
        world.crashed = true;
    }

    /// Ends all faults and lets the first VM seal and report everything.
    fn settle(&mut self) {
        {
            let mut world = locked(&self.world);
            let flying = std::mem::take(&mut world.flying);
            world.log.extend(flying);
            (world.append, world.report) = (Next::Fine, Next::Fine);
            (world.unreadable, world.lapsing) = (false, false);
            world.cut = [false; 2];
            world.holder = Some(0);
            world.epoch += 1;
        }
        for _ in 0..10 {
            block_on(self.sealers[0].tick());
            self.clock.advance(Duration::from_secs(2));
        }
    }

    fn fault(&self) -> Option<String> {
        let world = locked(&self.world);
        if let Some(broken) = &world.broken {
            return Some(broken.clone());
        }
        let mut figures: BTreeMap<&str, &Vec<UsageLine>> = BTreeMap::new();
        for report in &world.reports {
            let first = figures.entry(&report.window).or_insert(&report.lines);
            if *first != &report.lines {
                return Some(format!("{} has two figures", report.window));
            }
        }
        let mut reported: BTreeMap<OrgId, u64> = BTreeMap::new();
        for line in figures.values().copied().flatten() {
            *reported.entry(line.org.clone()).or_default() += line.requests;
        }
        let over = reported
            .iter()
            .any(|(org, n)| Some(n) > world.counted.get(org));
        if over || (!world.crashed && reported != world.counted) {
            return Some(format!(
                "counted {:?}, reported {reported:?}",
                world.counted
            ));
        }
        None
    }
}

fn keeps_promises(ops: Vec<u8>) -> TestResult {
    let mut run = Run::new();
    for op in &ops {
        run.step(*op);
    }
    run.settle();
    match run.fault() {
        None => TestResult::passed(),
        Some(fault) => TestResult::error(fault),
    }
}

/// Whatever happens, a window is reported with one figure, only under the lease, and every count is
/// in exactly one window unless an entry crashed.
#[test]
fn a_window_has_one_figure() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(OPS, SEED))
        .tests(CASES)
        .quickcheck(keeps_promises as fn(Vec<u8>) -> TestResult);
}

/// An entry's crash loses what was counted since the last collection, and nothing else.
#[test]
fn a_crash_loses_only_what_was_not_collected() {
    let mut run = Run::new();
    (0..5).for_each(|_| run.count(0, 0));
    block_on(run.sealers[0].tick());
    (0..2).for_each(|_| run.count(0, 0));
    run.crash_entry(0);
    run.count(0, 0);
    run.settle();
    let world = locked(&run.world);
    let lines = world.reports.iter().flat_map(|r| &r.lines);
    assert_eq!(lines.map(|l| l.requests).sum::<u64>(), 6);
}

/// Counts of a window that is sealed already go to a later one, marked as late.
#[test]
fn late_counts_are_marked() {
    let mut run = Run::new();
    run.count(0, 0);
    run.count(1, 0);
    block_on(run.sealers[0].tick());
    run.count(1, 0);
    locked(&run.world).cut[1] = true;
    run.clock.advance(Duration::from_secs(2));
    block_on(run.sealers[0].tick());
    run.settle();
    let world = locked(&run.world);
    let flags: Vec<(u64, bool)> = world
        .reports
        .iter()
        .flat_map(|r| r.lines.iter().map(|l| (l.requests, l.late)))
        .collect();
    assert_eq!(flags, [(2, false), (1, true)]);
}

/// An entry that was cut off for more than a day offers chunks that are sealed; they count once.
#[test]
fn a_long_cut_does_not_count_twice() {
    let mut run = Run::new();
    run.count(1, 0);
    block_on(run.sealers[0].tick());
    locked(&run.world).cut[1] = true;
    run.clock.advance(Duration::from_secs(2));
    block_on(run.sealers[0].tick());
    for _ in 0..2 {
        run.clock.advance(Duration::from_secs(25 * 3600));
        run.count(0, 1);
        block_on(run.sealers[0].tick());
    }
    run.sealers[0] = run.sealer(0);
    run.settle();
    assert_eq!(run.fault(), None);
}
