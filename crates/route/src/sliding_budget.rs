//! Retry budget over a sliding window.
//!
//! Prevents retry storms: when endpoints fail many requests at once, retries must not exceed a
//! fixed ratio of the ordinary requests, summed over all VMs. Each VM spends only what its own
//! requests earn, so the bound holds without coordination, also between partitioned VMs.

use {
    clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Share of the bound that is spent. The rest is a margin for retries that the receiving side
/// counts in another window.
const SPENDABLE_SHARE: f64 = 0.8;
/// Buckets per window; the counts of one bucket expire together.
const BUCKETS: u32 = 20;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    at: Instant,
    requests: u32,
    retries: u32,
}

/// Grants retries up to a ratio of the requests of the last window.
#[derive(Debug, Clone)]
pub struct SlidingRetryBudget {
    ratio: f64,
    window: Duration,
    reserve: f64,
    rounding: f64,
    buckets: VecDeque<Bucket>,
}

impl SlidingRetryBudget {
    /// A budget of `ratio` retries per request in any `window`, plus `reserve`.
    pub fn new(ratio: f64, window: Duration, reserve: f64) -> Self {
        Self {
            ratio,
            window,
            reserve,
            rounding: 0.0,
            buckets: VecDeque::new(),
        }
    }

    /// Sets the retries allowed in addition to the ratio.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Sets what is added to the allowed retries before they are rounded down.
    pub fn set_rounding(&mut self, rounding: f64) {
        self.rounding = rounding;
    }

    /// Drops expired buckets and returns the current one.
    fn current(&mut self, now: Instant) -> &mut Bucket {
        // Buckets are kept for one bucket width beyond the window: `try_withdraw` counts the
        // retries of all of them but skips the requests of the oldest. Both err towards fewer
        // retries.
        let span = self.window + self.window / BUCKETS;
        while self.buckets.front().is_some_and(|b| now.since(b.at) > span) {
            self.buckets.pop_front();
        }
        let width = self.window / BUCKETS;
        let fresh = self.buckets.back().is_some_and(|b| now.since(b.at) < width);
        if !fresh {
            self.buckets.push_back(Bucket {
                at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts an ordinary request.
    pub fn deposit(&mut self, now: Instant) {
        self.current(now).requests += 1;
    }

    /// Whether there is a retry left.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.current(now);
        let requests: u32 = self.buckets.iter().skip(1).map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let allowed = SPENDABLE_SHARE * (self.ratio * f64::from(requests) + self.reserve);
        f64::from(retries) + 1.0 <= allowed + self.rounding
    }

    /// Takes one retry out of the budget; `false` if there is none left.
    pub fn try_withdraw(&mut self, now: Instant) -> bool {
        if !self.has_retry(now) {
            return false;
        }
        self.current(now).retries += 1;
        true
    }
}
