//! Callers of a stream route, which take their streams up again if these break.

use {
    crate::{
        client::{StreamAnswer, StreamRequest, stream},
        config::{TENANTS, key},
        fleet::{Vm, is_ready},
        record::Record,
        replica::Replica,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Path of the stream route.
const PATH: &str = "/s/2f";
/// What callers allow for a stream (`timeoutMs`).
const DEADLINE: Duration = Duration::from_secs(15);
/// From this time after its start a VM is in touch (`contactMs`).
const CONTACT: Duration = Duration::from_millis(3_000);
/// Tries of a caller to take its stream up: the sheet gives it one retry.
const MAX_TRIES: u32 = 1;
/// Callers take a stream up if at least this much of their time is left.
const MIN_LEFT: Duration = Duration::from_secs(1);
/// Streams from which the rule counts.
const MIN_STREAMS: usize = 12;

/// The VMs as callers see them.
#[derive(Clone)]
pub(crate) struct Fronts {
    addrs: Arc<Vec<(SocketAddr, SocketAddr)>>,
    ready: Arc<Mutex<Vec<bool>>>,
    /// When each VM is in touch.
    in_touch: Arc<Mutex<Vec<Instant>>>,
}

impl Fronts {
    pub(crate) fn of(vms: &[Vm]) -> Self {
        Self {
            addrs: Arc::new(vms.iter().map(|vm| (vm.front(), vm.ready_addr())).collect()),
            ready: Arc::new(Mutex::new(vec![true; vms.len()])),
            in_touch: Arc::new(Mutex::new(
                vms.iter().map(|vm| vm.started + CONTACT).collect(),
            )),
        }
    }

    /// Checks readiness once a second, like the platform: two misses take a VM out.
    pub(crate) fn check(&self, stop: &Arc<AtomicBool>) {
        for number in 0..self.addrs.len() {
            let (fronts, stop) = (self.clone(), stop.clone());
            thread::spawn(move || {
                let mut misses = 0;
                while !stop.load(SeqCst) {
                    let ready = is_ready(fronts.addrs[number].1) == Some(true);
                    misses = if ready { 0 } else { misses + 1 };
                    lock(&fronts.ready)[number] = misses < 2;
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    /// A VM for a new connection.
    fn choose(&self) -> usize {
        let ready = lock(&self.ready);
        let live: Vec<_> = (0..ready.len()).filter(|n| ready[*n]).collect();
        match live.is_empty() {
            true => fastrand::usize(..ready.len()),
            false => live[fastrand::usize(..live.len())],
        }
    }

    /// Notes that the processes were started anew.
    pub(crate) fn restarted(&self, vms: &[Vm]) {
        *lock(&self.in_touch) = vms.iter().map(|vm| vm.started + CONTACT).collect();
    }

    fn is_in_touch(&self, vm: usize) -> bool {
        Instant::now() >= lock(&self.in_touch)[vm]
    }
}

/// What became of the streams.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcomes {
    /// Streams that were taken up at VMs in touch, and those of them that went on.
    taken_up: usize,
    went_on: usize,
    /// The same by the version that began them.
    by_version: BTreeMap<String, (usize, usize)>,
    /// New streams at VMs in touch after the disruption, and those that began.
    new: usize,
    began: usize,
    /// Streams with events out of order, or of two versions.
    wrong: usize,
}

/// What is done to the streams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Break {
    /// When.
    pub(crate) at: Instant,
    /// The VM whose streams it concerns; `None`: all.
    pub(crate) vm: Option<usize>,
    /// Pause of a caller whose connection broke, until it takes the stream up again.
    pub(crate) reconnect: Duration,
    /// Whether the callers close the connections themselves.
    pub(crate) by_callers: bool,
}

pub(crate) struct World {
    pub(crate) record: Record,
    pub(crate) fronts: Fronts,
    pub(crate) replicas: Mutex<Vec<Replica>>,
    pub(crate) outcomes: Mutex<Outcomes>,
    pub(crate) broken: Mutex<Option<Break>>,
}

/// Locks what callers share; a caller that panicked has said so.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    pub(crate) fn new(record: &Record, vms: &[Vm], replicas: Vec<Replica>) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            fronts: Fronts::of(vms),
            replicas: Mutex::new(replicas),
            outcomes: Mutex::default(),
            broken: Mutex::default(),
        })
    }

    /// Whether two replicas of a version serve.
    fn serves(&self, version: &str) -> bool {
        let replicas = lock(&self.replicas);
        let serving = replicas.iter().filter(|r| r.serves());
        serving.filter(|r| r.version() == version).count() >= 2
    }

    /// What has been done to the streams of a VM.
    fn broken(&self, vm: usize) -> Option<Break> {
        let broken = lock(&self.broken).filter(|b| Instant::now() >= b.at);
        broken.filter(|b| b.vm.is_none_or(|n| n == vm))
    }

    /// One caller: begins a stream, and takes it up again if it breaks.
    fn call(&self, number: u64) {
        let began = Instant::now();
        let deadline = began + DEADLINE;
        let key = key(TENANTS[number as usize % TENANTS.len()]);
        let first = format!("{number:08x}{:08x}", fastrand::u32(..));
        let vm = self.fronts.choose();
        let counts = lock(&self.broken).is_some() && self.fronts.is_in_touch(vm);
        let leaves = || {
            let broken = self.broken(vm);
            broken.is_some_and(|b| b.by_callers && b.at > began)
        };
        self.record.line(format!("stream {first} sent to VM {vm}"));
        let answer = self.send(vm, (&first, &key), deadline, None, &leaves);
        if counts {
            let mut outcomes = lock(&self.outcomes);
            outcomes.new += 1;
            outcomes.began += usize::from(!answer.events.is_empty());
        }
        let mut last = 0;
        if !follows(&answer, &mut last) || answer.complete || answer.events.is_empty() {
            return;
        }
        let version = answer.versions.first().cloned().unwrap_or_default();
        self.record.line(format!(
            "stream {first} broke after event {last} of {version}"
        ));
        if let Some(broken) = self.broken(vm) {
            let pause = (broken.at + broken.reconnect).saturating_duration_since(Instant::now());
            thread::sleep(pause);
            self.take_up((&first, &key, &version), deadline, last);
        }
    }

    /// Takes a stream up after event `last`.
    fn take_up(&self, (first, key, version): (&str, &str, &str), deadline: Instant, mut last: u64) {
        let (mut counted, mut went_on) = (false, false);
        for tried in 0..MAX_TRIES {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < MIN_LEFT {
                break;
            }
            let vm = self.fronts.choose();
            let in_touch = self.fronts.is_in_touch(vm);
            let two_serve = self.serves(version);
            let id = format!("{:08x}{:08x}", fastrand::u32(..), fastrand::u32(..));
            let answer = self.send(vm, (&id, key), deadline, Some((last, first)), &|| false);
            self.record.line(format!(
                "stream {first} ({version}) taken up as {id} at VM {vm} after event {last}, in touch: {in_touch}: \
                 status {:?}, {} events",
                answer.status,
                answer.events.len()
            ));
            counted |= in_touch && two_serve;
            went_on |= !answer.events.is_empty();
            if !follows(&answer, &mut last) || answer.versions.iter().any(|v| v != version) {
                self.record.say(format!(
                    "stream {first} went on wrongly: {:?}",
                    answer.versions
                ));
                lock(&self.outcomes).wrong += 1;
            }
            if went_on {
                break;
            }
            let pause = match answer.retry_after {
                Some(wait) if wait > left / 3 => break,
                Some(wait) => wait,
                None => Duration::from_millis(500 << tried),
            };
            thread::sleep(pause);
        }
        if counted {
            let mut outcomes = lock(&self.outcomes);
            outcomes.taken_up += 1;
            outcomes.went_on += usize::from(went_on);
            let by = outcomes.by_version.entry(version.to_owned()).or_default();
            by.0 += 1;
            by.1 += usize::from(went_on);
        }
    }

    fn send(
        &self,
        vm: usize,
        (id, key): (&str, &str),
        deadline: Instant,
        resumes: Option<(u64, &str)>,
        leaves: &dyn Fn() -> bool,
    ) -> StreamAnswer {
        let request = StreamRequest {
            path: PATH,
            id,
            key,
            deadline,
            resumes,
            leaves,
        };
        stream(self.fronts.addrs[vm].0, &request)
    }
}

/// Whether the events follow on from `last`, which is moved on.
fn follows(answer: &StreamAnswer, last: &mut u64) -> bool {
    for id in &answer.events {
        if *id != *last + 1 {
            return false;
        }
        *last = *id;
    }
    true
}

/// A caller.
pub(crate) type Call = thread::JoinHandle<()>;

/// Starts a caller each `interval` until `stop`.
pub(crate) fn spawn_callers(
    world: &Arc<World>,
    interval: Duration,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<Call>> {
    let (world, stop) = (world.clone(), stop.clone());
    thread::spawn(move || {
        let mut calls = Vec::new();
        let mut number = 0;
        while !stop.load(SeqCst) {
            number += 1;
            let world = world.clone();
            calls.push(thread::spawn(move || world.call(number)));
            thread::sleep(interval);
        }
        calls
    })
}

/// Whether the rule held.
pub(crate) fn judge(record: &Record, outcomes: &Outcomes) -> bool {
    let Outcomes {
        taken_up,
        went_on,
        new,
        began,
        wrong,
        by_version,
    } = outcomes;
    record.say(format!(
        "streams taken up at machines in touch: {taken_up}, of which went on: {went_on}; new streams there: {new}, \
         of which began: {began}; by version: {by_version:?}; wrong: {wrong}"
    ));
    if *taken_up < MIN_STREAMS || *new == 0 {
        return *wrong == 0;
    }
    let share = *went_on as f64 / *taken_up as f64;
    let new_share = *began as f64 / *new as f64;
    record.say(format!(
        "share that went on {share:.2}, share of new streams {new_share:.2}"
    ));
    share >= new_share / 2.0 && *wrong == 0
}
