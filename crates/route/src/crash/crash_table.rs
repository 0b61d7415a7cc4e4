//! Crashes of endpoints and their likely causes, as known to one VM.
//!
//! A crash accuses all requests that the endpoint had just begun to answer. A suspect is acquitted of
//! the crashes before a response that an endpoint gave to it. One that is left with crashes at
//! several endpoints is refused; suspects that were always together are refused only together. Crashes
//! that a quarantine explains accuse nobody else.

use {
    super::{CrashNews, CrashReport, QuarantineNotice, SoundNotice, Suspect},
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
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
/// Time for which a sound suspect is remembered.
const SOUND_MEMORY: Duration = Duration::from_secs(60);
/// Time for which a quarantine holds, and for which one crash is enough afterwards.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Largest share of `QUARANTINE_TIME` by which VMs end a quarantine one after the other: the first one to
/// send such a request learns for all whether it still crashes endpoints.
const QUARANTINE_SPREAD: f64 = 0.5;
/// Difference between the ages of crashes from which they are not the same one.
const RENEWAL_GAP: Duration = Duration::from_secs(2);
/// Time after a crash in which further requests that it cut are noticed.
const CUT_SPAN: Duration = Duration::from_secs(5);
/// Time for which news is told in each round, and interval at which quarantines are told afterwards, to
/// VMs that have joined.
const TELL_TIME: Duration = Duration::from_secs(3);
const RETELL_INTERVAL: Duration = Duration::from_secs(1);
/// Bounds of what is remembered.
const MAX_CRASHES: usize = 512;
const MAX_REQUESTS: usize = 32;
const MAX_SUSPECTS: usize = 16;
const MAX_SOUND: usize = 8_192;
const MAX_QUARANTINES: usize = 1_024;
/// Bounds of what is told at a time.
const MAX_QUARANTINES_TOLD: usize = 24;
const MAX_SOUND_TOLD: usize = 24;
const MAX_REPORTS_TOLD: usize = 24;

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

/// The latest harmless response to a suspect.
#[derive(Debug, Clone, Copy)]
struct Sound {
    at: Instant,
    own: bool,
    /// Until when others are told, and when they last were.
    tell_until: Instant,
    told: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Quarantine {
    /// The last crash.
    at: Instant,
    /// When this VM reached it or was told.
    since: Instant,
    until: Instant,
    told: Instant,
    /// Whether its end was noticed.
    ended: bool,
}

impl Quarantine {
    fn holds(&self, now: Instant) -> bool {
        now < self.until
    }
}

/// Crashes, suspects and quarantines.
#[derive(Debug, Default)]
pub struct CrashTable {
    pending: BTreeMap<EndpointStart, PendingCut>,
    crashes: BTreeMap<EndpointStart, Crash>,
    sound: HashMap<Suspect, Sound>,
    /// Quarantines on suspects in order, which hold for requests with all of them.
    quarantines: BTreeMap<Vec<Suspect>, Quarantine>,
    /// This VM's part of the spread of the ends of quarantines, from 0 to 1.
    spread: f64,
}

impl CrashTable {
    /// An empty table; `spread`, from 0 to 1, differs between VMs.
    pub fn new(spread: f64) -> Self {
        Self {
            spread,
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

    /// Records that an endpoint answered a request without harm.
    pub fn record_sound(&mut self, now: Instant, suspects: &[Suspect]) -> Vec<CrashChange> {
        let mut changes = Vec::new();
        for suspect in suspects {
            let sound = self.sound.entry(*suspect).or_insert(Sound {
                at: now,
                own: true,
                tell_until: Instant::default(),
                told: Instant::default(),
            });
            sound.at = now;
            sound.own = true;
            if self.acquit(*suspect, now) {
                changes.push(CrashChange::Acquitted(*suspect));
                if let Some(sound) = self.sound.get_mut(suspect) {
                    sound.tell_until = now + TELL_TIME;
                }
            }
        }
        if self.sound.len() > MAX_SOUND {
            self.forget_older_half();
        }
        changes
    }

    /// Takes a suspect out of the quarantines on crashes before `at`; returns whether there were any.
    fn acquit(&mut self, suspect: Suspect, at: Instant) -> bool {
        let concerned = self.quarantines.iter();
        let concerned = concerned.filter(|(group, v)| v.at < at && group.contains(&suspect));
        let concerned: Vec<_> = concerned.map(|(group, _)| group.clone()).collect();
        for group in &concerned {
            let Some(quarantine) = self.quarantines.remove(group) else {
                continue;
            };
            let rest: Vec<_> = group.iter().copied().filter(|s| *s != suspect).collect();
            if !rest.is_empty() {
                self.quarantines.entry(rest).or_insert(Quarantine {
                    told: Instant::default(),
                    ..quarantine
                });
            }
        }
        !concerned.is_empty()
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<_> = self.sound.values().map(|s| s.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.sound.retain(|_, s| s.at > median);
    }

    /// The suspects for which a request is refused, and for how long.
    pub fn refused(&self, now: Instant, suspects: &[Suspect]) -> Option<(&[Suspect], Duration)> {
        let mut quarantines = self.quarantines.iter();
        let (group, quarantine) =
            quarantines.find(|(group, v)| v.holds(now) && contains_all(suspects, group))?;
        Some((group, quarantine.until.since(now)))
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
        let known = self.sound.get(&suspect).map(|s| s.at);
        if known.is_some_and(|known| known >= at) {
            return None;
        }
        let sound = Sound {
            at,
            own: false,
            tell_until: now + TELL_TIME,
            told: Instant::default(),
        };
        self.sound.insert(suspect, sound);
        self.acquit(suspect, at)
            .then_some(CrashChange::Acquitted(suspect))
    }

    fn learn_quarantine(
        &mut self,
        now: Instant,
        suspects: &[Suspect],
        at: Instant,
    ) -> Option<CrashChange> {
        if suspects.is_empty() || now.since(at) >= QUARANTINE_TIME {
            return None;
        }
        let mut is_refuted = false;
        for suspect in suspects {
            if let Some(sound) = self.sound.get_mut(suspect).filter(|s| s.at > at) {
                sound.tell_until = now + TELL_TIME;
                is_refuted = true;
            }
        }
        let known = self.quarantines.get(suspects);
        if is_refuted || known.is_some_and(|v| at < v.at + RENEWAL_GAP) {
            return None;
        }
        let held = known.is_some_and(|v| v.holds(now));
        self.impose(now, suspects.to_vec(), at);
        (!held).then(|| CrashChange::Told(suspects.to_vec()))
    }

    fn impose(&mut self, now: Instant, suspects: Vec<Suspect>, at: Instant) {
        let time = QUARANTINE_TIME.mul_f64(1.0 + QUARANTINE_SPREAD * self.spread);
        let quarantine = Quarantine {
            at,
            since: now,
            until: at + time,
            told: Instant::default(),
            ended: false,
        };
        self.quarantines.insert(suspects, quarantine);
        if self.quarantines.len() > MAX_QUARANTINES {
            let oldest = self.quarantines.iter().min_by_key(|(_, v)| v.at);
            if let Some(suspects) = oldest.map(|(suspects, _)| suspects.clone()) {
                self.quarantines.remove(&suspects);
            }
        }
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
            let explained = quarantines.iter().any(|(group, quarantine)| {
                let mut requests = crash.requests.iter();
                quarantine.holds(now) && requests.any(|r| contains_all(r, group))
            });
            if explained || now.since(crash.at) >= EVIDENCE_TIME {
                return false;
            }
            for request in &mut crash.requests {
                request.retain(|suspect| {
                    let Some(sound) = sound.get_mut(suspect).filter(|s| s.at > crash.at) else {
                        return true;
                    };
                    if sound.own {
                        sound.tell_until = now + TELL_TIME;
                    }
                    false
                });
            }
            crash.requests.retain(|r| !r.is_empty());
            !crash.requests.is_empty()
        });
    }

    /// Imposes the quarantines that the known crashes allow.
    fn judge(&mut self, now: Instant) -> Vec<CrashChange> {
        let mut changes = Vec::new();
        loop {
            self.prune(now);
            let convicted = self.likeliest_causes(now);
            if convicted.is_empty() {
                return changes;
            }
            for (suspects, crashes, at) in convicted {
                self.impose(now, suspects.clone(), at);
                changes.push(CrashChange::Convicted(suspects, crashes));
            }
        }
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
        if let Some(quarantine) = self.quarantines.get([suspect].as_slice()) {
            return crashes().any(|at| at > quarantine.at);
        }
        let sound = self.sound.get(&suspect);
        if sound.is_some_and(|s| now.since(s.at) < SOUND_TIME) {
            return false;
        }
        if self
            .quarantines
            .keys()
            .any(|group| group.contains(&suspect))
        {
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
        let age_ms = |at: Instant| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let mut quarantines: Vec<_> = self
            .quarantines
            .iter_mut()
            .filter(|(_, v)| {
                let is_new = now.since(v.since) < TELL_TIME;
                let is_due = repeats && now.since(v.told) >= RETELL_INTERVAL;
                v.holds(now) && now.since(v.at) < QUARANTINE_TIME && (is_new || is_due)
            })
            .collect();
        quarantines.sort_by_key(|(_, v)| v.told);
        let quarantines = quarantines.into_iter().take(MAX_QUARANTINES_TOLD);
        let quarantines = quarantines.map(|(suspects, quarantine)| {
            quarantine.told = now;
            QuarantineNotice {
                suspects: suspects.clone(),
                age_ms: age_ms(quarantine.at),
            }
        });
        let quarantines = quarantines.collect();
        let sound = self.sound.iter_mut();
        let mut sound: Vec<_> = sound
            .filter(|(_, s)| (s.own || relays) && now < s.tell_until)
            .collect();
        sound.sort_by_key(|(_, s)| s.told);
        let sound = sound.into_iter().take(MAX_SOUND_TOLD);
        let sound = sound.map(|(suspect, sound)| {
            sound.told = now;
            SoundNotice {
                suspect: *suspect,
                age_ms: age_ms(sound.at),
            }
        });
        let sound = sound.collect();
        let mut crashes: Vec<_> = self
            .crashes
            .iter_mut()
            .filter(|(_, c)| (c.own || relays) && now.since(c.changed) < TELL_TIME)
            .collect();
        crashes.sort_by_key(|(_, c)| c.told);
        let reports = crashes.into_iter().take(MAX_REPORTS_TOLD);
        let reports = reports.map(|(start, crash)| {
            crash.told = now;
            CrashReport {
                start: start.clone(),
                age_ms: age_ms(crash.at),
                requests: crash.requests.clone(),
            }
        });
        CrashNews {
            reports: reports.collect(),
            quarantines,
            sound,
        }
    }

    /// Imposes the quarantines that the known crashes allow, and drops what is out of date. Quarantines that
    /// have ended are kept for as long again, so that the next crash renews them.
    pub fn update(&mut self, now: Instant) -> Vec<CrashChange> {
        self.sound.retain(|_, s| now.since(s.at) < SOUND_MEMORY);
        self.pending.retain(|_, p| now.since(p.at) < EVIDENCE_TIME);
        let mut changes = Vec::new();
        self.quarantines
            .retain(|_, v| now < v.until + QUARANTINE_TIME);
        for (suspects, quarantine) in &mut self.quarantines {
            if !quarantine.ended && !quarantine.holds(now) {
                quarantine.ended = true;
                changes.push(CrashChange::Expired(suspects.clone()));
            }
        }
        changes.extend(self.judge(now));
        changes
    }
}

fn contains_all(suspects: &[Suspect], group: &[Suspect]) -> bool {
    group.iter().all(|s| suspects.contains(s))
}

/// Adds a request unless it is known already or there are too many; returns whether it was added.
fn add_request(requests: &mut Vec<Vec<Suspect>>, request: Vec<Suspect>) -> bool {
    if requests.len() >= MAX_REQUESTS || requests.contains(&request) {
        return false;
    }
    requests.push(request);
    true
}
