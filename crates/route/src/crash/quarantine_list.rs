//! What requests are refused for because it crashes endpoints.

use {
    super::{QuarantineNotice, Suspect, contains_all, crash_table::TELL_TIME},
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a quarantine holds, and for which one crash is enough to renew it afterwards.
pub(super) const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Largest share of `QUARANTINE_TIME` by which VMs end a quarantine one after the other: the first one
/// to send such a request learns for all whether it still crashes endpoints.
const SPREAD: f64 = 0.5;
/// Difference between the ages of crashes from which they are not the same one.
const RENEWAL_GAP: Duration = Duration::from_secs(2);
/// Interval at which others are told again, for VMs that have joined.
const RETELL_INTERVAL: Duration = Duration::from_secs(1);
const MAX_QUARANTINES: usize = 1_024;
/// Largest number of quarantines that others are told of at a time.
const MAX_TOLD: usize = 24;

#[derive(Debug, Clone, Copy)]
struct Quarantine {
    /// The last crash.
    at: Instant,
    /// When this VM imposed it or was told.
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

/// Quarantines by their suspects, in order. They hold for requests with all of these.
#[derive(Debug, Default)]
pub(super) struct QuarantineList {
    by_suspects: BTreeMap<Vec<Suspect>, Quarantine>,
    /// This VM's part of the spread of ends, from 0 to 1.
    spread: f64,
}

impl QuarantineList {
    pub(super) fn new(spread: f64) -> Self {
        Self {
            spread,
            ..Self::default()
        }
    }

    /// Imposes or renews a quarantine after a crash at `at`.
    pub(super) fn impose(&mut self, now: Instant, suspects: Vec<Suspect>, at: Instant) {
        let quarantine = Quarantine {
            at,
            since: now,
            until: at + QUARANTINE_TIME.mul_f64(1.0 + SPREAD * self.spread),
            told: Instant::default(),
            ended: false,
        };
        self.by_suspects.insert(suspects, quarantine);
        if self.by_suspects.len() > MAX_QUARANTINES {
            let oldest = self.by_suspects.iter().min_by_key(|(_, q)| q.since);
            if let Some(suspects) = oldest.map(|(suspects, _)| suspects.clone()) {
                self.by_suspects.remove(&suspects);
            }
        }
    }

    /// Imposes a quarantine that another VM told of; false if it held already.
    pub(super) fn learn(&mut self, now: Instant, suspects: &[Suspect], at: Instant) -> bool {
        let known = self.by_suspects.get(suspects);
        if known.is_some_and(|q| at < q.at + RENEWAL_GAP) || now.since(at) >= QUARANTINE_TIME {
            return false;
        }
        let held = known.is_some_and(|q| q.holds(now));
        self.impose(now, suspects.to_vec(), at);
        !held
    }

    /// Takes a suspect out of the quarantines on crashes before `at`; returns whether there were any.
    pub(super) fn acquit(&mut self, suspect: Suspect, at: Instant) -> bool {
        let concerned = self.by_suspects.iter();
        let concerned = concerned.filter(|(group, q)| q.at < at && group.contains(&suspect));
        let concerned: Vec<_> = concerned.map(|(group, _)| group.clone()).collect();
        for group in &concerned {
            let Some(quarantine) = self.by_suspects.remove(group) else {
                continue;
            };
            let rest: Vec<_> = group.iter().copied().filter(|s| *s != suspect).collect();
            if !rest.is_empty() {
                self.by_suspects.entry(rest).or_insert(Quarantine {
                    told: Instant::default(),
                    ..quarantine
                });
            }
        }
        !concerned.is_empty()
    }

    /// The quarantine that a request with these suspects is under, and how long it holds.
    pub(super) fn find(
        &self,
        now: Instant,
        suspects: &[Suspect],
    ) -> Option<(&[Suspect], Duration)> {
        let mut all = self.by_suspects.iter();
        let (group, quarantine) =
            all.find(|(group, q)| q.holds(now) && contains_all(suspects, group))?;
        Some((group, quarantine.until.since(now)))
    }

    /// The last crash that the quarantine of a suspect alone was imposed for, whether it holds or not.
    pub(super) fn last_crash(&self, suspect: Suspect) -> Option<Instant> {
        self.by_suspects.get([suspect].as_slice()).map(|q| q.at)
    }

    /// Whether a suspect is one of several of a quarantine.
    pub(super) fn is_member(&self, suspect: Suspect) -> bool {
        let mut groups = self.by_suspects.keys();
        groups.any(|group| group.len() > 1 && group.contains(&suspect))
    }

    /// The quarantines that others have to be told of now; with `repeats` also those that they were
    /// told of before. If there are many, those not told for longest.
    pub(super) fn tell(&mut self, now: Instant, repeats: bool) -> Vec<QuarantineNotice> {
        let is_due = |q: &Quarantine| {
            let is_new = now.since(q.since) < TELL_TIME;
            let is_due = repeats && now.since(q.told) >= RETELL_INTERVAL;
            q.holds(now) && now.since(q.at) < QUARANTINE_TIME && (is_new || is_due)
        };
        let mut due: Vec<_> = self
            .by_suspects
            .iter_mut()
            .filter(|(_, q)| is_due(q))
            .collect();
        due.sort_by_key(|(_, q)| q.told);
        due.truncate(MAX_TOLD);
        let notices = due.into_iter().map(|(suspects, quarantine)| {
            quarantine.told = now;
            QuarantineNotice {
                suspects: suspects.clone(),
                age_ms: super::age_ms(now, quarantine.at),
            }
        });
        notices.collect()
    }

    /// Returns the quarantines that have ended since the last call. They are remembered for a while, so
    /// that the next crash renews them.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Vec<Suspect>> {
        self.by_suspects
            .retain(|_, q| now < q.until + QUARANTINE_TIME);
        let mut ended = Vec::new();
        for (suspects, quarantine) in &mut self.by_suspects {
            if !quarantine.ended && !quarantine.holds(now) {
                quarantine.ended = true;
                ended.push(suspects.clone());
            }
        }
        ended
    }
}
