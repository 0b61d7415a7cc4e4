//! Two VMs, each with an entry and a sealer, over a log, a lease and a platform that fail on demand.

use {
    async_io::block_on,
    clock::TestClock,
    coord::Tenure,
    ports::{
        Appended, Log, Page, PlatformError, PlatformFuture, Record, Stream, UsageApi, UsageLine,
        UsageReport,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    types::{Epoch, Incarnation, OrgId, Tokens, Verdict, VmId},
    usage::{Collect, Ledger, PullRequest, Pulled, Sealer, SealerParts, Source, UsageSettings},
};

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

pub(crate) struct World {
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
    pub(crate) cut: [bool; 2],
    pub(crate) reports: Vec<UsageReport>,
    counted: BTreeMap<OrgId, u64>,
    crashed: bool,
    broken: Option<String>,
}

pub(crate) type Shared = Arc<Mutex<World>>;

pub(crate) fn locked(world: &Shared) -> MutexGuard<'_, World> {
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
    fn append<'a>(&'a self, _: Stream, record: &'a str) -> PlatformFuture<'a, Appended> {
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

    fn read(&self, _: Stream, from: u64, _: Duration) -> PlatformFuture<'_, Page> {
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

impl UsageApi for View {
    fn report<'a>(&'a self, report: &'a UsageReport) -> PlatformFuture<'a, ()> {
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

pub(crate) struct Run {
    pub(crate) world: Shared,
    pub(crate) clock: TestClock,
    pub(crate) sealers: Vec<Sealer>,
    starts: u64,
}

impl Run {
    pub(crate) fn new() -> Self {
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

    pub(crate) fn sealer(&self, at: usize) -> Sealer {
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

    pub(crate) fn step(&mut self, op: u8) {
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

    pub(crate) fn count(&self, at: usize, org: usize) {
        let mut world = locked(&self.world);
        let org: OrgId = ORGS[org].parse().unwrap();
        world.entries[at].count(&org, Tokens(7));
        *world.counted.entry(org).or_default() += 1;
    }

    pub(crate) fn crash_entry(&mut self, at: usize) {
        self.starts += 1;
        let mut world = locked(&self.world);
        world.entries[at] = Ledger::new(source(at, self.starts));
        world.crashed = true;
    }

    /// Ends all faults and lets the first VM seal and report everything.
    pub(crate) fn settle(&mut self) {
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

    pub(crate) fn fault(&self) -> Option<String> {
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
