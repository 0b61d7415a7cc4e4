//! When the counts of a usage window are fixed.
//!
//! Designed for these conditions: the platform is away while a window ends, so that counts arrive
//! seconds after its return; VMs that die, or are cut off, never complete their counts; reports are
//! due a fixed time after the end of a window.

use {clock::Instant, std::time::Duration};

/// Time after the end of a window in which VMs store their final counts on a day without trouble.
const FIRST_LOOK: Duration = Duration::from_millis(3_000);
/// Time between two looks for counts that are missing; each is a call to the platform.
const LOOK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time before a report is due at which it is made without the counts that are missing: room for
/// repeated calls, or for another VM to take over.
const REPORT_MARGIN: Duration = Duration::from_millis(2_000);
/// Time after the platform's return in which VMs store the counts that an outage held back. It
/// counts before the due time: late figures are better than wrong ones.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Times of one window.
#[derive(Debug, Clone, Copy)]
pub struct SealTiming {
    /// Time since the window's end.
    pub ended: Duration,
    /// Time after the end at which its report is due.
    pub due: Duration,
    /// Since when the platform has been readable without a failure.
    pub readable_since: Instant,
    /// When the counts were last read.
    pub last_look: Instant,
}

impl SealTiming {
    /// Whether to read the counts now.
    pub fn should_look(&self, now: Instant) -> bool {
        let looked = now.since(self.last_look) < LOOK_INTERVAL;
        self.ended >= FIRST_LOOK && !looked
    }

    /// Whether the window is sealed although the counts of some VMs are missing. `awaited` tells
    /// whether any of them is alive.
    pub fn is_overdue(&self, now: Instant, awaited: bool) -> bool {
        let settled = now.since(self.readable_since) >= SETTLE_TIME;
        self.ended >= self.due.saturating_sub(REPORT_MARGIN) && (settled || !awaited)
    }
}
