//! A budget for repeated requests over a sliding window.
//!
//! Answers retry storms: when endpoints fail many requests at once, repeats must not add more load than
//! a fixed share of the ordinary requests, summed over all VMs. Each VM spends only the share that its own
//! requests earn, so the sum holds without any exchange, also between VMs that are cut off.

use {
    clock::Stamp,
    std::{collections::VecDeque, time::Duration},
};

/// Part of the bound that is spent: leaves room for repeats that were counted in another window by the
/// receiving side.
const SPENT_SHARE: f64 = 0.8;
/// Steps of a window; counts of a step leave the window together.
const STEPS: u32 = 20;

#[derive(Debug, Clone, Copy)]
struct Step {
    at: Stamp,
    requests: u32,
    repeats: u32,
}

/// Grants repeats up to a share of the requests of the last window.
#[derive(Debug, Clone)]
pub struct SlidingRetryBudget {
    ratio: f64,
    window: Duration,
    extra: f64,
    steps: VecDeque<Step>,
}

impl SlidingRetryBudget {
    /// A budget of `ratio` repeats for each request in any `window`, and `extra` more.
    pub fn new(ratio: f64, window: Duration, extra: f64) -> Self {
        Self {
            ratio,
            window,
            extra,
            steps: VecDeque::new(),
        }
    }

    /// Sets the repeats allowed beyond the ratio.
    pub fn set_reserve(&mut self, extra: f64) {
        self.extra = extra;
    }

    fn step(&mut self, now: Stamp) -> &mut Step {
        // Requests of the whole window count, repeats of one step more: both err on the safe side.
        let span = self.window + self.window / STEPS;
        while self.steps.front().is_some_and(|s| now.since(s.at) > span) {
            self.steps.pop_front();
        }
        let width = self.window / STEPS;
        let fresh = self.steps.back().is_some_and(|s| now.since(s.at) < width);
        if !fresh {
            self.steps.push_back(Step {
                at: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }

    /// Counts an ordinary request.
    pub fn deposit(&mut self, now: Stamp) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat out of the budget, if there is one.
    pub fn try_withdraw(&mut self, now: Stamp) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().skip(1).map(|s| s.requests).sum();
        let repeats: u32 = self.steps.iter().map(|s| s.repeats).sum();
        let most = SPENT_SHARE * (self.ratio * f64::from(requests) + self.extra);
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }
}
