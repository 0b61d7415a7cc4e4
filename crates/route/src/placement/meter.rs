//! A rate over the last seconds.

use {clock::Stamp, std::time::Duration};

/// Length of one slice.
const SLICE: Duration = Duration::from_millis(500);
/// Slices that the rate is taken over: short enough to see a burst within two seconds.
const SLICES: usize = 4;

/// Newest slices that count alone when they hold more: a burst shows within a second.
const NEWEST: usize = 2;

/// Counts what comes in slices of time.
#[derive(Debug, Clone, Default)]
pub(super) struct Meter {
    /// Start of the newest slice.
    start: Stamp,
    /// Newest first; the first one is not complete.
    slices: [u64; SLICES + 1],
}

impl Meter {
    pub(super) fn add(&mut self, now: Stamp, amount: u64) {
        self.advance(now);
        self.slices[0] += amount;
    }

    /// Amount a second over the complete slices, or over the newest ones if that is more.
    pub(super) fn rate(&mut self, now: Stamp) -> u64 {
        self.advance(now);
        let over = |slices: &[u64]| {
            let span = SLICE.as_secs_f64() * slices.len() as f64;
            slices.iter().sum::<u64>() as f64 / span
        };
        let (all, newest) = (over(&self.slices[1..]), over(&self.slices[1..=NEWEST]));
        all.max(newest) as u64
    }

    fn advance(&mut self, now: Stamp) {
        let passed = now.since(self.start).as_nanos() / SLICE.as_nanos();
        let passed = usize::try_from(passed).unwrap_or(usize::MAX);
        if passed == 0 {
            return;
        }
        if passed > SLICES {
            self.slices = [0; SLICES + 1];
            self.start = now;
            return;
        }
        self.slices.rotate_right(passed);
        self.slices[..passed].fill(0);
        self.start = self.start + SLICE * passed as u32;
    }
}
