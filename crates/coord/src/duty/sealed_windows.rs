//! Which usage windows are sealed, as the duty log tells.

use {
    super::SealedWindow,
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
};

/// Sealed windows that are remembered; more than are ever due at once.
const MAX_SEALED: usize = 16;
/// Windows by which a record may be ahead of this VM's clock. A record further ahead comes from a
/// VM whose clock is wrong.
const MAX_AHEAD: u64 = 4;

/// The sealed windows, in the log and lost from it.
#[derive(Debug, Clone)]
pub(super) struct SealedWindows {
    /// Length of a window.
    length: Duration,
    /// An instant and the time of day then, as it is known now: a wrong one is corrected later.
    time: (Instant, Duration),
    /// Windows that are sealed in the log.
    sealed: BTreeMap<u64, SealedWindow>,
    /// Windows whose seals the log has lost.
    lost: BTreeMap<u64, SealedWindow>,
    /// Windows below this one may have been sealed, as records told.
    next: u64,
    /// The same as the newest record told, which may be ahead of this VM's clock.
    told: u64,
    /// Windows that had ended by then may have been sealed, as seals may have been lost unread.
    lost_at: Option<Instant>,
}

impl SealedWindows {
    pub(super) fn new(length: Duration) -> Self {
        Self {
            length,
            time: (Instant::default(), Duration::ZERO),
            sealed: BTreeMap::new(),
            lost: BTreeMap::new(),
            next: 0,
            told: 0,
            lost_at: None,
        }
    }

    /// Sets the time of day at `now`.
    pub(super) fn set_time(&mut self, now: Instant, unix: Duration) {
        self.time = (now, unix);
    }

    /// The window at an instant that is not in the future.
    pub(super) fn window_at(&self, at: Instant) -> u64 {
        let (now, unix) = self.time;
        let unix = unix.saturating_sub(now.since(at));
        let number = unix.as_nanos() / self.length.as_nanos().max(1);
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Remembers a seal that was read. Of two with different figures none is kept, as VMs that have
    /// missed one of them may report the other.
    pub(super) fn add(&mut self, sealed: &SealedWindow) {
        self.close(sealed.window);
        self.lost.remove(&sealed.window);
        let known = self.sealed.get(&sealed.window);
        if known.is_some_and(|k| k != sealed) {
            self.sealed.remove(&sealed.window);
            return;
        }
        self.sealed.insert(sealed.window, sealed.clone());
        while self.sealed.len() > MAX_SEALED {
            self.sealed.pop_first();
        }
    }

    /// Closes a window and all before it.
    pub(super) fn close(&mut self, window: u64) {
        self.close_before(window.saturating_add(1));
    }

    /// Closes the windows below `next`, as a record tells.
    pub(super) fn close_before(&mut self, next: u64) {
        self.told = next;
        if self.is_plausible(next) {
            self.next = self.next.max(next);
        }
    }

    fn is_plausible(&self, next: u64) -> bool {
        next <= self.window_at(self.time.0).saturating_add(MAX_AHEAD)
    }

    /// Closes all windows that have ended at `now`: seals may have been lost unread.
    pub(super) fn close_ended(&mut self, now: Instant) {
        self.lost_at = Some(now);
    }

    /// Handles a log that has lost its newest records. The figures of their seals still hold.
    pub(super) fn lose_log(&mut self) {
        self.lost.append(&mut self.sealed);
        while self.lost.len() > MAX_SEALED {
            self.lost.pop_first();
        }
    }

    /// The figures of a window that is sealed in the log.
    pub(super) fn get(&self, window: u64) -> Option<&SealedWindow> {
        self.sealed.get(&window)
    }

    /// Whether a window is closed without figures, as its seal may have been dropped.
    pub(super) fn lacks_seal(&self, window: u64) -> bool {
        !self.is_open(window) && !self.sealed.contains_key(&window)
    }

    /// The figures of a window whose seal the log has lost.
    pub(super) fn lost(&self, window: u64) -> Option<&SealedWindow> {
        self.lost.get(&window)
    }

    /// Whether a window may be sealed with new figures.
    pub(super) fn is_open(&self, window: u64) -> bool {
        window >= self.next()
    }

    /// The first window that may be sealed with new figures.
    pub(super) fn next(&self) -> u64 {
        let ended = self.lost_at.map_or(0, |at| self.window_at(at));
        let told = match self.is_plausible(self.told) {
            true => self.told,
            false => 0,
        };
        self.next.max(ended).max(told)
    }
}
