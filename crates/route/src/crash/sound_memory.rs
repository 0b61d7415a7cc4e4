//! The suspects that endpoints answered without harm.

use {
    super::{SoundNotice, Suspect, crash_table::TELL_TIME},
    clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Time for which a sound suspect is remembered.
const MEMORY: Duration = Duration::from_secs(60);
const MAX_SUSPECTS: usize = 8_192;
/// Largest number of suspects that others are told of at a time.
const MAX_TOLD: usize = 24;

/// The latest harmless response to a suspect.
#[derive(Debug, Clone, Copy)]
struct Sound {
    at: Instant,
    /// Whether it was a response to this VM.
    own: bool,
    /// Until when others are told, and when they last were.
    tell_until: Instant,
    told: Instant,
}

/// The latest harmless responses, by suspect.
#[derive(Debug, Default)]
pub(super) struct SoundMemory(HashMap<Suspect, Sound>);

impl SoundMemory {
    /// Records a response to this VM.
    pub(super) fn record(&mut self, now: Instant, suspect: Suspect) {
        let sound = self.0.entry(suspect).or_insert(Sound {
            at: now,
            own: true,
            tell_until: Instant::default(),
            told: Instant::default(),
        });
        sound.at = now;
        sound.own = true;
        if self.0.len() > MAX_SUSPECTS {
            self.forget_older_half();
        }
    }

    /// Records a response to another VM; false if a later one is known.
    pub(super) fn learn(&mut self, now: Instant, suspect: Suspect, at: Instant) -> bool {
        if self.last(suspect).is_some_and(|known| known >= at) {
            return false;
        }
        let sound = Sound {
            at,
            own: false,
            tell_until: now + TELL_TIME,
            told: Instant::default(),
        };
        self.0.insert(suspect, sound);
        true
    }

    /// Lets others be told of a suspect from now on.
    pub(super) fn tell_later(&mut self, now: Instant, suspect: Suspect) {
        if let Some(sound) = self.0.get_mut(&suspect) {
            sound.tell_until = now + TELL_TIME;
        }
    }

    /// The last harmless response to a suspect.
    pub(super) fn last(&self, suspect: Suspect) -> Option<Instant> {
        self.0.get(&suspect).map(|s| s.at)
    }

    /// Whether a suspect is acquitted of what happened at `at`. If so, others are told, as they may
    /// accuse it.
    pub(super) fn acquits(&mut self, now: Instant, suspect: Suspect, at: Instant) -> bool {
        let Some(sound) = self.0.get_mut(&suspect).filter(|s| s.at > at) else {
            return false;
        };
        sound.tell_until = now + TELL_TIME;
        true
    }

    /// The suspects that others have to be told of now; with `relays` those that this VM was told of,
    /// too. If there are many, those not told for longest.
    pub(super) fn tell(&mut self, now: Instant, relays: bool) -> Vec<SoundNotice> {
        let sound = self.0.iter_mut();
        let mut due: Vec<_> = sound
            .filter(|(_, s)| (s.own || relays) && now < s.tell_until)
            .collect();
        due.sort_by_key(|(_, s)| s.told);
        due.truncate(MAX_TOLD);
        let notices = due.into_iter().map(|(suspect, sound)| {
            sound.told = now;
            SoundNotice {
                suspect: *suspect,
                age_ms: super::age_ms(now, sound.at),
            }
        });
        notices.collect()
    }

    /// Drops what is out of date.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, s| now.since(s.at) < MEMORY);
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<_> = self.0.values().map(|s| s.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.0.retain(|_, s| s.at > median);
    }
}
