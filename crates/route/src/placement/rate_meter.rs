//! Rate over the last few seconds.

use {clock::Instant, std::time::Duration};

/// Length of one slice.
const SLICE: Duration = Duration::from_millis(500);
/// Slices that the rate is averaged over: short enough to show a burst within two seconds.
const SLICES: usize = 4;

/// Newest slices whose own average is used if it is higher, so that a burst shows within a second.
const NEWEST_SLICES: usize = 2;

/// Counts amounts in slices of time.
#[derive(Debug, Clone, Default)]
pub(super) struct RateMeter {
    /// Start of the newest slice.
    start: Instant,
    /// Amounts by slice, newest first; the first slice is incomplete.
    slices: [u64; SLICES + 1],
}

impl RateMeter {
    pub(super) fn add(&mut self, now: Instant, amount: u64) {
        self.advance(now);
        self.slices[0] += amount;
    }

    /// Amount per second over the complete slices, or over the newest ones if that is higher.
    pub(super) fn rate(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.last_rate()
    }

    /// The rate as of the last call.
    pub(super) fn last_rate(&self) -> u64 {
        let rate_of = |slices: &[u64]| {
            let span = SLICE.as_secs_f64() * slices.len() as f64;
            slices.iter().sum::<u64>() as f64 / span
        };
        let (all, newest) = (
            rate_of(&self.slices[1..]),
            rate_of(&self.slices[1..=NEWEST_SLICES]),
        );
        all.max(newest) as u64
    }

    /// Amount per second over the newest complete slices. The sum of such rates of many VMs is that of their sums,
    /// unlike that of `rate`.
    pub(super) fn newest_rate(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.last_newest_rate()
    }

    /// The newest rate as of the last call.
    pub(super) fn last_newest_rate(&self) -> u64 {
        let span = SLICE.as_secs_f64() * NEWEST_SLICES as f64;
        let newest = self.slices[1..=NEWEST_SLICES].iter().sum::<u64>();
        (newest as f64 / span) as u64
    }

    fn advance(&mut self, now: Instant) {
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
