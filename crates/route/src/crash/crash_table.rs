//! Crashes of endpoints and their likely causes, as known to one VM.
//!
//! A crash accuses all requests that the endpoint had just begun to answer. A suspect is acquitted of
//! the crashes before a response that an endpoint gave to it. One that is left with crashes at
//! several endpoints is refused; suspects that were always together are refused only together. Crashes
//! that a quarantine explains accuse nobody else.

use {
    super::{
        CrashNews, CrashReport, Suspect, contains_all, quarantine_list::QuarantineList,
        sound_memory::SoundMemory,
    },
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::EndpointId,
};

/// Crashes at so many addresses make a quarantine.
const MIN_ADDRESSES: usize = 3;
/// Crashes that make a quarantine wherever they were, or against a suspect that once was sound.
const MIN_CRASHES: usize = 5;
/// Crashes that make a quarantine against one of several suspects that are refused together.
const MIN_CRASHES_ALONE: usize = 2;
/// Time from the first crash until a quarantine, in which other VMs tell that a suspect is sound: two
/// ways through the hubs of a large fleet.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time without a harmless response from which one that was sound before can be refused.
const SOUND_TIME: Duration = Duration::from_secs(5);
/// Time for which a crash is remembered.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);
/// Time after a crash in which further requests that it cut are noticed.
const CUT_SPAN: Duration = Duration::from_secs(5);
/// Time for which others are told of news in each round.
pub(super) const TELL_TIME: Duration = Duration::from_secs(3);
const MAX_CRASHES: usize = 512;
/// Largest numbers of requests of one crash, and of suspects of one request.
const MAX_REQUESTS: usize = 32;
const MAX_SUSPECTS: usize = 16;
/// Largest number of crashes that others are told of at a time.
const MAX_TOLD: usize = 24;
/// Largest number of quarantines that are imposed one after the other at a time.
const MAX_ROUNDS: usize = 64;

/// One start of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointStart {
    /// The endpoint.
    pub id: EndpointId,
    /// Its start time, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Its address.
    pub addr: SocketAddr,
}

/// A change of what is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashChange {
    /// Requests with all of the suspects are refused after so many crashes known to this VM.
    Convicted(Vec<Suspect>, usize),
    /// Requests with all of the suspects are refused because another VM does.
    Told(Vec<Suspect>),
    /// An endpoint answered a request with the suspect, so that it alone is no reason to refuse one.
    Acquitted(Suspect),
    /// The quarantine was too old.
    Expired(Vec<Suspect>),
}

#[derive(Debug, Clone)]
struct Crash {
    at: Instant,
    requests: Vec<Vec<Suspect>>,
    /// Whether this VM had a request there.
    own: bool,
    changed: Instant,
    told: Instant,
}

/// Requests cut by an endpoint that may have crashed.
#[derive(Debug, Clone)]
struct PendingCut {
    at: Instant,
    requests: Vec<Vec<Suspect>>,
}

/// Crashes, suspects and quarantines.
#[derive(Debug, Default)]
pub struct CrashTable {
    pending: BTreeMap<EndpointStart, PendingCut>,
    crashes: BTreeMap<EndpointStart, Crash>,
    /// Endpoints that went on after they seemed to have crashed, and when. Others may go on telling of
    /// the crash.
    alive: BTreeMap<EndpointStart, Instant>,
    sound: SoundMemory,
    quarantines: QuarantineList,
}

impl CrashTable {
    /// An empty table; `spread`, from 0 to 1, decides how long this VM's quarantines hold and differs
    /// between VMs.
    pub fn new(spread: f64) -> Self {
        Self {
            quarantines: QuarantineList::new(spread),
            ..Self::default()
        }
    }

    /// Records that an endpoint cut a request that it had at most begun to answer. Returns whether it
    /// has to be found out if the endpoint has crashed; [`Self::end_check`] tells the result.
    pub fn record_cut(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        suspects: &[Suspect],
    ) -> bool {
        let deepest = suspects.len().saturating_sub(MAX_SUSPECTS);
        let request = suspects[deepest..].to_vec();
        if request.is_empty() {
            return false;
        }
        if let Some(crash) = self.crashes.get_mut(start)
            && now.since(crash.at) < CUT_SPAN
        {
            crash.own = true;
            crash.changed = now;
            add_request(&mut crash.requests, request);
            return false;
        }
        let is_first = !self.pending.contains_key(start);
        let pending = self
            .pending
            .entry(start.clone())
            .or_insert_with(|| PendingCut {
                at: now,
                requests: Vec::new(),
            });
        add_request(&mut pending.requests, request);
        is_first
    }

    /// Records whether an endpoint that had cut requests has crashed.
    pub fn end_check(&mut self, now: Instant, start: &EndpointStart, crashed: bool) {
        if let Some(pending) = self.pending.remove(start).filter(|_| crashed) {
            self.add_crash(now, start, (pending.at, pending.requests), true);
        }
    }

    fn add_crash(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        (at, requests): (Instant, Vec<Vec<Suspect>>),
        own: bool,
    ) {
        if self.alive.get(start).is_some_and(|alive| at <= *alive) {
            return;
        }
        let crash = self.crashes.entry(start.clone()).or_insert_with(|| Crash {
            at,
            requests: Vec::new(),
            own,
            changed: now,
            told: Instant::default(),
        });
        crash.own |= own;
        crash.at = crash.at.min(at);
        for request in requests {
            if add_request(&mut crash.requests, request) {
                crash.changed = now;
            }
        }
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.at);
            if let Some(start) = oldest.map(|(start, _)| start.clone()) {
                self.crashes.remove(&start);
            }
        }
    }

    /// Records that an endpoint went on with a request that had been sent to it at `sent`: it has not
    /// crashed since.
    pub fn record_alive(&mut self, now: Instant, start: &EndpointStart, sent: Instant) {
        let crashed = self.crashes.get(start).is_some_and(|c| sent < c.at);
        if crashed {
            self.crashes.remove(start);
        }
        let suspected = self.pending.get(start).is_some_and(|p| sent < p.at);
        if suspected {
            self.pending.remove(start);
        }
        if (crashed || suspected) && self.alive.len() < MAX_CRASHES {
            self.alive.insert(start.clone(), now);
        }
    }

    /// Records that an endpoint answered a request without harm.
    pub fn record_sound(&mut self, now: Instant, suspects: &[Suspect]) -> Vec<CrashChange> {
        let mut changes = Vec::new();
        for suspect in suspects {
            self.sound.record(now, *suspect);
            if self.quarantines.acquit(*suspect, now) {
                // Others have the quarantine as well.
                self.sound.tell_later(now, *suspect);
                changes.push(CrashChange::Acquitted(*suspect));
            }
        }
        changes
    }

    /// The suspects for which a request is refused, and for how long.
    pub fn refused(&self, now: Instant, suspects: &[Suspect]) -> Option<(&[Suspect], Duration)> {
        self.quarantines.find(now, suspects)
    }

    /// Applies what another VM told.
    pub fn learn(&mut self, now: Instant, news: &CrashNews) -> Vec<CrashChange> {
        let mut changes = Vec::new();
        let before = |age_ms: u64| now - Duration::from_millis(age_ms);
        for notice in &news.sound {
            changes.extend(self.learn_sound(now, notice.suspect, before(notice.age_ms)));
        }
        for notice in &news.quarantines {
            changes.extend(self.learn_quarantine(now, &notice.suspects, before(notice.age_ms)));
        }
        for report in &news.reports {
            let at = before(report.age_ms);
            if now.since(at) < EVIDENCE_TIME {
                let requests = report.requests.clone();
                self.add_crash(now, &report.start, (at, requests), false);
            }
        }
        changes
    }

    fn learn_sound(&mut self, now: Instant, suspect: Suspect, at: Instant) -> Option<CrashChange> {
        if !self.sound.learn(now, suspect, at) {
            return None;
        }
        self.quarantines
            .acquit(suspect, at)
            .then_some(CrashChange::Acquitted(suspect))
    }

    fn learn_quarantine(
        &mut self,
        now: Instant,
        suspects: &[Suspect],
        at: Instant,
    ) -> Option<CrashChange> {
        let mut acquitted = false;
        for suspect in suspects {
            acquitted |= self.sound.acquits(now, *suspect, at);
        }
        if acquitted || suspects.is_empty() {
            return None;
        }
        let imposed = self.quarantines.learn(now, suspects, at);
        imposed.then(|| CrashChange::Told(suspects.to_vec()))
    }

    /// Drops suspects from the crashes that they are acquitted of, and crashes that are explained.
    fn prune(&mut self, now: Instant) {
        let Self {
            crashes,
            sound,
            quarantines,
            ..
        } = self;
        crashes.retain(|_, crash| {
            let mut requests = crash.requests.iter();
            let explained = requests.any(|r| quarantines.find(now, r).is_some());
            if explained || now.since(crash.at) >= EVIDENCE_TIME {
                return false;
            }
            for request in &mut crash.requests {
                request.retain(|suspect| !sound.acquits(now, *suspect, crash.at));
            }
            crash.requests.retain(|r| !r.is_empty());
            !crash.requests.is_empty()
        });
    }

    /// Imposes the quarantines that the known crashes allow.
    fn judge(&mut self, now: Instant) -> Vec<CrashChange> {
        let mut changes = Vec::new();
        for _ in 0..MAX_ROUNDS {
            self.prune(now);
            let convicted = self.likeliest_causes(now);
            if convicted.is_empty() {
                break;
            }
            for (suspects, crashes, at) in convicted {
                self.quarantines.impose(now, suspects.clone(), at);
                changes.push(CrashChange::Convicted(suspects, crashes));
            }
        }
        changes
    }

    /// The suspects with enough crashes that are in most of them, those together that were always in
    /// the same requests, with the number of crashes and the last one.
    fn likeliest_causes(&self, now: Instant) -> Vec<(Vec<Suspect>, usize, Instant)> {
        let mut accused: BTreeMap<Suspect, BTreeSet<&EndpointStart>> = BTreeMap::new();
        for (start, crash) in &self.crashes {
            for suspect in crash.requests.iter().flatten() {
                accused.entry(*suspect).or_default().insert(start);
            }
        }
        accused.retain(|suspect, starts| self.is_enough(now, *suspect, starts));
        let Some(most) = accused.values().max_by_key(|starts| starts.len()).cloned() else {
            return Vec::new();
        };
        let last = most.iter().map(|start| self.crashes[*start].at).max();
        let last = last.unwrap_or(now);
        accused.retain(|_, starts| *starts == most);
        let requests = || most.iter().flat_map(|start| &self.crashes[*start].requests);
        let together = |suspect: &Suspect| -> Vec<Suspect> {
            let mut group: Vec<_> = accused.keys().copied().collect();
            for request in requests().filter(|r| r.contains(suspect)) {
                group.retain(|s| request.contains(s));
            }
            group
        };
        let groups: BTreeSet<_> = accused.keys().map(together).collect();
        let is_part = |group: &Vec<Suspect>| {
            let mut others = groups.iter().filter(|other| *other != group);
            others.any(|other| contains_all(other, group))
        };
        let largest = groups.iter().filter(|group| !is_part(group));
        largest
            .map(|group| (group.clone(), most.len(), last))
            .collect()
    }

    fn is_enough(&self, now: Instant, suspect: Suspect, starts: &BTreeSet<&EndpointStart>) -> bool {
        let crashes = || starts.iter().map(|start| self.crashes[*start].at);
        let addresses: BTreeSet<_> = starts.iter().map(|start| start.addr).collect();
        if let Some(last) = self.quarantines.last_crash(suspect) {
            return crashes().any(|at| at > last);
        }
        let sound = self.sound.last(suspect);
        if sound.is_some_and(|at| now.since(at) < SOUND_TIME) {
            return false;
        }
        if self.quarantines.is_member(suspect) {
            return addresses.len() >= MIN_CRASHES_ALONE;
        }
        let first = crashes().min();
        if first.is_none_or(|first| now.since(first) < SETTLE_TIME) {
            return false;
        }
        starts.len() >= MIN_CRASHES || addresses.len() >= MIN_ADDRESSES && sound.is_none()
    }

    /// What others have to be told now: what this VM found out, and with `relays` what it was told
    /// itself. With `repeats` quarantines are told for as long as they hold. If there is much, what was
    /// not told for longest.
    pub fn tell(&mut self, now: Instant, relays: bool, repeats: bool) -> CrashNews {
        self.prune(now);
        let mut crashes: Vec<_> = self
            .crashes
            .iter_mut()
            .filter(|(_, c)| (c.own || relays) && now.since(c.changed) < TELL_TIME)
            .collect();
        crashes.sort_by_key(|(_, c)| c.told);
        crashes.truncate(MAX_TOLD);
        let reports = crashes.into_iter().map(|(start, crash)| {
            crash.told = now;
            CrashReport {
                start: start.clone(),
                age_ms: super::age_ms(now, crash.at),
                requests: crash.requests.clone(),
            }
        });
        CrashNews {
            reports: reports.collect(),
            quarantines: self.quarantines.tell(now, repeats),
            sound: self.sound.tell(now, relays),
        }
    }

    /// Imposes the quarantines that the known crashes allow, and drops what is out of date.
    pub fn update(&mut self, now: Instant) -> Vec<CrashChange> {
        self.sound.expire(now);
        self.pending.retain(|_, p| now.since(p.at) < EVIDENCE_TIME);
        self.alive
            .retain(|_, at| now.since(*at) < TELL_TIME.saturating_mul(2));
        let ended = self.quarantines.expire(now).into_iter();
        let mut changes: Vec<_> = ended.map(CrashChange::Expired).collect();
        changes.extend(self.judge(now));
        changes
    }
}

/// Adds a request unless it is known already or there are too many; returns whether it was added.
fn add_request(requests: &mut Vec<Vec<Suspect>>, request: Vec<Suspect>) -> bool {
    if requests.len() >= MAX_REQUESTS || requests.contains(&request) {
        return false;
    }
    requests.push(request);
    true
}
