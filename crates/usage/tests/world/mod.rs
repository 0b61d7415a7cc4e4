//! Simulation of two VMs, each with an entry and a sealer, on a log, a lease and a platform that
//! fail on demand.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    async_io::block_on,
    clock::TestClock,
    coord::LeaseHandle,
    ports::{
        Appended, Log, Page, PlatformError, PlatformFuture, Record, Stream, UsageApi, UsageLine,
        UsageReport,
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering::SeqCst},
        },
        time::Duration,
    },
    types::{Epoch, Incarnation, OrgId, Tokens, Verdict, VmId},
    usage::{
        ChunkSource, Collector, PullFuture, PullRequest, Sealer, SealerContext, UsageCounter,
        UsageSettings,
    },
};

const ORGS: [&str; 3] = ["rice-mill", "tea-estate", "directorate"];
const VMS: [&str; 2] = ["vm-1", "vm-2"];

/// Outcome of the next call of a kind.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    Success,
    ResponseLost,
    NoEffect,
    /// Takes effect only later, when the call is delivered.
    InFlight,
}

pub(crate) struct World {
    log: Vec<String>,
    in_flight: Vec<String>,
    append_outcome: CallOutcome,
    report_outcome: CallOutcome,
    log_unreadable: bool,
    /// The lease moves to the other VM at the next append.
    lease_moves: bool,
    /// The next pull is answered as if the collector had no chunks yet.
    stale_pull: bool,
    holder: Option<usize>,
    epoch: u64,
    entries: Vec<UsageCounter>,
    pub(crate) unreachable: [bool; 2],
    pub(crate) reports: Vec<UsageReport>,
    /// The published number of unsealed requests, as the bits of a float.
    pub(crate) unsealed: Arc<AtomicU64>,
    /// That number at each report.
    pub(crate) reported_gauges: Vec<f64>,
    counted: BTreeMap<OrgId, u64>,
    entry_crashed: bool,
    violation: Option<String>,
}

pub(crate) type Shared = Arc<Mutex<World>>;

pub(crate) fn locked(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap()
}

fn vm(index: usize) -> VmId {
    VMS[index].parse().unwrap()
}

fn source(index: usize, incarnation: u64) -> ChunkSource {
    ChunkSource {
        vm: vm(index),
        incarnation: Incarnation(incarnation),
    }
}

fn no_response<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Unreachable(Verdict::MayHaveRun))
}

/// The world as the VM with this index sees it.
struct VmView(Shared, usize);

impl Log for VmView {
    fn append<'a>(&'a self, _: Stream, record: &'a str) -> PlatformFuture<'a, Appended> {
        Box::pin(async move {
            let mut world = locked(&self.0);
            if std::mem::take(&mut world.lease_moves) {
                world.holder = Some(1 - self.1);
                world.epoch += 1;
            }
            let outcome = std::mem::replace(&mut world.append_outcome, CallOutcome::Success);
            match outcome {
                CallOutcome::NoEffect => return Err(PlatformError::Unreachable(Verdict::NotRun)),
                CallOutcome::InFlight => {
                    world.in_flight.push(record.into());
                    return no_response();
                }
                CallOutcome::Success | CallOutcome::ResponseLost => world.log.push(record.into()),
            }
            if outcome == CallOutcome::ResponseLost {
                return no_response();
            }
            let offset = world.log.len() as u64 - 1;
            Ok(Appended { offset })
        })
    }

    fn read(&self, _: Stream, from: u64, _: Duration) -> PlatformFuture<'_, Page> {
        Box::pin(async move {
            let world = locked(&self.0);
            if world.log_unreadable {
                return no_response();
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

impl UsageApi for VmView {
    fn report<'a>(&'a self, report: &'a UsageReport) -> PlatformFuture<'a, ()> {
        Box::pin(async move {
            let mut world = locked(&self.0);
            let unsealed = f64::from_bits(world.unsealed.load(SeqCst));
            world.reported_gauges.push(unsealed);
            if world.holder != Some(self.1) {
                world.violation = Some(format!("{} reported without the lease", report.sender));
            }
            match std::mem::replace(&mut world.report_outcome, CallOutcome::Success) {
                CallOutcome::NoEffect => Err(PlatformError::Unreachable(Verdict::NotRun)),
                CallOutcome::Success => {
                    world.reports.push(report.clone());
                    Ok(())
                }
                CallOutcome::ResponseLost | CallOutcome::InFlight => {
                    world.reports.push(report.clone());
                    no_response()
                }
            }
        })
    }
}

impl LeaseHandle for VmView {
    fn epoch(&self) -> Option<Epoch> {
        let world = locked(&self.0);
        (world.holder == Some(self.1)).then_some(Epoch(world.epoch))
    }
}

impl Collector for VmView {
    fn vms(&self) -> Vec<VmId> {
        (0..VMS.len()).map(vm).collect()
    }

    fn pull(&self, vm: VmId, mut request: PullRequest) -> PullFuture<'_> {
        Box::pin(async move {
            let mut world = locked(&self.0);
            if std::mem::take(&mut world.stale_pull) {
                request.have = 0;
            }
            let index = VMS.iter().position(|v| *v == vm.as_str())?;
            if world.unreachable[index] {
                return None;
            }
            Some(world.entries[index].handle_pull(&request))
        })
    }
}

pub(crate) struct Simulation {
    pub(crate) world: Shared,
    pub(crate) clock: TestClock,
    pub(crate) sealers: Vec<Sealer>,
    incarnations: u64,
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let world = Arc::new(Mutex::new(World {
            log: Vec::new(),
            in_flight: Vec::new(),
            append_outcome: CallOutcome::Success,
            report_outcome: CallOutcome::Success,
            log_unreadable: false,
            lease_moves: false,
            stale_pull: false,
            holder: Some(0),
            epoch: 1,
            entries: (0..VMS.len())
                .map(|i| UsageCounter::new(source(i, 1)))
                .collect(),
            unreachable: [false; 2],
            reports: Vec::new(),
            unsealed: Arc::default(),
            reported_gauges: Vec::new(),
            counted: BTreeMap::new(),
            entry_crashed: false,
            violation: None,
        }));
        let clock = TestClock::default();
        clock.advance(Duration::from_secs(1_000_000));
        let mut simulation = Self {
            world,
            clock,
            sealers: Vec::new(),
            incarnations: 1,
        };
        simulation.sealers = (0..VMS.len()).map(|i| simulation.sealer(i)).collect();
        simulation
    }

    pub(crate) fn sealer(&self, index: usize) -> Sealer {
        let view = || Arc::new(VmView(self.world.clone(), index));
        Sealer::new(SealerContext {
            vm: vm(index),
            zone: "kerala-west-a".parse().unwrap(),
            log: view(),
            reports: view(),
            lease: view(),
            entries: view(),
            clock: Arc::new(self.clock.clone()),
            settings: UsageSettings {
                window_ms: 1_000,
                grace_ms: 200,
                pull_ms: 100,
            },
        })
    }

    /// Performs a random operation or fault, chosen by `op`.
    pub(crate) fn step(&mut self, op: u8) {
        let index = usize::from(op / 32) % VMS.len();
        match op % 20 {
            0..=3 => self.count(index, usize::from(op) % ORGS.len()),
            4..=6 => block_on(self.sealers[index].run_round()),
            7 | 8 => self.clock.advance(Duration::from_millis(400)),
            9 => {
                let mut world = locked(&self.world);
                world.holder = Some(index);
                world.epoch += 1;
            }
            10 => locked(&self.world).holder = None,
            11 => locked(&self.world).append_outcome = CallOutcome::ResponseLost,
            12 => locked(&self.world).append_outcome = CallOutcome::InFlight,
            13 => {
                let mut world = locked(&self.world);
                let in_flight = std::mem::take(&mut world.in_flight);
                world.log.extend(in_flight);
            }
            14 => {
                let outcome = [CallOutcome::ResponseLost, CallOutcome::NoEffect][index];
                locked(&self.world).report_outcome = outcome;
            }
            15 => self.sealers[index] = self.sealer(index),
            16 => self.crash_entry(index),
            17 => locked(&self.world).lease_moves = true,
            18 => locked(&self.world).stale_pull = true,
            _ => {
                let mut world = locked(&self.world);
                world.unreachable[index] = !world.unreachable[index];
                world.log_unreadable = !world.log_unreadable;
            }
        }
    }

    pub(crate) fn count(&self, index: usize, org: usize) {
        let mut world = locked(&self.world);
        let org: OrgId = ORGS[org].parse().unwrap();
        world.entries[index].count(&org, Tokens(7));
        *world.counted.entry(org).or_default() += 1;
    }

    /// Restarts an entry with a new incarnation and without its counts.
    pub(crate) fn crash_entry(&mut self, index: usize) {
        self.incarnations += 1;
        let mut world = locked(&self.world);
        world.entries[index] = UsageCounter::new(source(index, self.incarnations));
        world.entry_crashed = true;
    }

    /// Ends all faults and lets the first VM seal and report all counts.
    pub(crate) fn settle(&mut self) {
        {
            let mut world = locked(&self.world);
            let in_flight = std::mem::take(&mut world.in_flight);
            world.log.extend(in_flight);
            (world.append_outcome, world.report_outcome) =
                (CallOutcome::Success, CallOutcome::Success);
            (world.log_unreadable, world.lease_moves) = (false, false);
            world.unreachable = [false; 2];
            world.holder = Some(0);
            world.epoch += 1;
        }
        for _ in 0..10 {
            block_on(self.sealers[0].run_round());
            self.clock.advance(Duration::from_secs(2));
        }
    }

    /// Returns which invariant is violated, if any.
    pub(crate) fn violation(&self) -> Option<String> {
        let world = locked(&self.world);
        if let Some(violation) = &world.violation {
            return Some(violation.clone());
        }
        let mut figures: BTreeMap<&str, &Vec<UsageLine>> = BTreeMap::new();
        for report in &world.reports {
            let first = figures.entry(&report.window).or_insert(&report.lines);
            if *first != &report.lines {
                return Some(format!(
                    "{} was reported with different figures",
                    report.window
                ));
            }
        }
        let mut reported: BTreeMap<OrgId, u64> = BTreeMap::new();
        for line in figures.values().copied().flatten() {
            *reported.entry(line.org.clone()).or_default() += line.requests;
        }
        let overcounted = reported
            .iter()
            .any(|(org, n)| Some(n) > world.counted.get(org));
        if overcounted || (!world.entry_crashed && reported != world.counted) {
            return Some(format!(
                "counted {:?}, reported {reported:?}",
                world.counted
            ));
        }
        None
    }
}
