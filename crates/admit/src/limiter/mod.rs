//! Rate, token and concurrency limits of an organisation in a class and on a route.

mod bucket;
mod share;

use {
    crate::average::Rate,
    bucket::Bucket,
    clock::Instant,
    conf::Limits,
    std::{collections::HashMap, time::Duration},
    types::{ClassId, OrgId, PerSecond, RouteId, Tokens},
};

pub use share::LimitShare;

/// When a caller may try again that has too many requests at once.
const CONCURRENT_RETRY: Duration = Duration::from_millis(500);
/// Time after which an unused meter is forgotten.
const IDLE: Duration = Duration::from_secs(60);
/// Time between sweeps.
const SWEEP: Duration = Duration::from_secs(10);

/// What a limit applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitKey {
    /// Organisation.
    pub org: OrgId,
    /// Class of work.
    pub class: ClassId,
    /// Route, for requests to plain services.
    pub route: Option<RouteId>,
}

/// Why a request is over a limit, and when the caller may try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Which limit.
    pub kind: LimitKind,
    /// When to try again.
    pub retry_after: Duration,
}

/// A kind of limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests a second.
    Requests,
    /// Generated tokens a second.
    Tokens,
    /// Requests at once.
    Concurrent,
}

#[derive(Debug)]
struct Meter {
    requests: Bucket,
    tokens: Bucket,
    running: u32,
    demand: Rate,
    share: Option<LimitShare>,
    used: Instant,
}

/// Meters of one process, each with the process's share of a limit of the fleet.
#[derive(Debug, Default)]
pub struct Limiter {
    meters: HashMap<LimitKey, Meter>,
    share: LimitShare,
    swept: Instant,
}

impl Limiter {
    /// Sets the share of every limit without one of its own.
    pub fn set_share(&mut self, share: LimitShare) {
        self.share = share;
    }

    /// Sets the share of one key's limits, by demand. `None` takes it back.
    pub fn set_key_share(&mut self, key: &LimitKey, share: Option<LimitShare>) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.share = share;
        }
    }

    /// Requests a second that callers asked for, refused ones included, by key.
    pub fn demand(&self, now: Instant) -> impl Iterator<Item = (&LimitKey, PerSecond)> {
        let meters = self.meters.iter();
        meters.filter_map(move |(k, m)| Some((k, PerSecond::try_from(m.demand.get(now)).ok()?)))
    }

    /// Counts a request in, or tells that it is over a limit. Each `Ok` is followed by one
    /// [`Limiter::release`].
    pub fn admit(
        &mut self,
        now: Instant,
        key: &LimitKey,
        limits: &Limits,
    ) -> Result<(), LimitExceeded> {
        let common = self.share;
        let meter = self.meters.entry(key.clone()).or_insert_with(|| Meter {
            requests: Bucket::full(now),
            tokens: Bucket::full(now),
            running: 0,
            demand: Rate::default(),
            share: None,
            used: now,
        });
        meter.used = now;
        meter.demand.add(now, 1.0);
        let share = meter.share.unwrap_or(common);
        meter.check(now, limits, share)?;
        meter.running += 1;
        if limits.requests.is_some() {
            meter.requests.take(1.0);
        }
        Ok(())
    }

    /// Charges generated tokens. A bucket may fall below zero; requests wait until it is repaid.
    pub fn charge_tokens(&mut self, key: &LimitKey, tokens: Tokens) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.tokens.take(tokens.0 as f64);
        }
    }

    /// Counts a request out.
    pub fn release(&mut self, key: &LimitKey) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Forgets meters that were not used for a while; cheap to call often.
    pub fn sweep(&mut self, now: Instant) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        let kept = |m: &Meter| m.running > 0 || m.tokens.is_in_debt() || now.since(m.used) < IDLE;
        self.meters.retain(|_, m| kept(m));
    }
}

impl Meter {
    fn check(
        &mut self,
        now: Instant,
        limits: &Limits,
        share: LimitShare,
    ) -> Result<(), LimitExceeded> {
        let over = |kind, retry_after| Err(LimitExceeded { kind, retry_after });
        if let Some(most) = limits.concurrent
            && self.running >= share.of_count(most)
        {
            return over(LimitKind::Concurrent, CONCURRENT_RETRY);
        }
        if let Some(rate) = limits.tokens {
            let wait = self.tokens.refill(now, share.of_rate(rate), 0.0);
            if !wait.is_zero() {
                return over(LimitKind::Tokens, wait);
            }
        }
        if let Some(rate) = limits.requests {
            let wait = self.requests.refill(now, share.of_rate(rate), 1.0);
            if !wait.is_zero() {
                return over(LimitKind::Requests, wait);
            }
        }
        Ok(())
    }
}
