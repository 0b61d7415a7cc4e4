//! Which usage windows are sealed, as the duty log tells.

use {super::SealedWindow, std::collections::BTreeMap};

/// Sealed windows that are remembered; more than are ever due at once.
const MAX_SEALED: usize = 16;
/// Windows by which a record may be ahead of this VM's clock. A record further ahead comes from a
/// VM whose clock is wrong.
const MAX_AHEAD: u64 = 4;

/// The sealed windows, in the log and lost from it.
#[derive(Debug, Clone, Default)]
pub(super) struct SealedWindows {
    /// Windows that are sealed in the log.
    sealed: BTreeMap<u64, SealedWindow>,
    /// Windows whose seals the log has lost.
    lost: BTreeMap<u64, SealedWindow>,
    /// Windows below this one may have been sealed, also where their figures are not known.
    next: u64,
    /// The present window.
    current: u64,
}

impl SealedWindows {
    /// Sets the present window.
    pub(super) fn set_current(&mut self, window: u64) {
        self.current = window;
    }

    /// Remembers a seal that was read.
    pub(super) fn add(&mut self, sealed: &SealedWindow) {
        self.raise(sealed.window.saturating_add(1));
        self.lost.remove(&sealed.window);
        let entry = self.sealed.entry(sealed.window);
        entry.or_insert_with(|| sealed.clone());
        while self.sealed.len() > MAX_SEALED {
            self.sealed.pop_first();
        }
    }

    /// Takes windows below `next` for sealed.
    pub(super) fn raise(&mut self, next: u64) {
        if next <= self.current.saturating_add(MAX_AHEAD) {
            self.next = self.next.max(next);
        }
    }

    /// Takes all windows that have ended for sealed: seals may have been lost unread.
    pub(super) fn close_ended(&mut self) {
        self.next = self.next.max(self.current);
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

    /// The figures of a window whose seal the log has lost.
    pub(super) fn lost(&self, window: u64) -> Option<&SealedWindow> {
        self.lost.get(&window)
    }

    /// Whether a window may be sealed with new figures.
    pub(super) fn is_open(&self, window: u64) -> bool {
        window >= self.next
    }

    /// The first window that may be sealed with new figures.
    pub(super) fn next(&self) -> u64 {
        self.next
    }
}
