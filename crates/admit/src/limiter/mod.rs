//! Request rate, token rate and concurrency limits per organisation, class and route.

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

/// Time after which a caller with too many concurrent requests may retry.
const CONCURRENT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after which an unused meter is dropped.
const METER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum time between sweeps of unused meters.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Scope of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitKey {
    /// Organisation.
    pub org: OrgId,
    /// Class of requests.
    pub class: ClassId,
    /// Route, for requests to plain services.
    pub route: Option<RouteId>,
}

/// A limit that a request would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Kind of the limit.
    pub kind: LimitKind,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Kind of limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Generated tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrent,
}

/// Usage of one key.
#[derive(Debug)]
struct Meter {
    requests: Bucket,
    tokens: Bucket,
    running: u32,
    demand: Rate,
    share: Option<LimitShare>,
    last_used: Instant,
}

/// Enforces this process's share of the fleet-wide limits.
#[derive(Debug, Default)]
pub struct Limiter {
    meters: HashMap<LimitKey, Meter>,
    default_share: LimitShare,
    last_sweep: Instant,
}

impl Limiter {
    /// Sets the default share, for keys without a share of their own.
    pub fn set_share(&mut self, share: LimitShare) {
        self.default_share = share;
    }

    /// Sets the share of one key's limits, by demand. `None` returns to the default share.
    pub fn set_key_share(&mut self, key: &LimitKey, share: Option<LimitShare>) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.share = share;
        }
    }

    /// Requests per second by key, including refused ones.
    pub fn demand(&self, now: Instant) -> impl Iterator<Item = (&LimitKey, PerSecond)> {
        let meters = self.meters.iter();
        meters.filter_map(move |(k, m)| Some((k, PerSecond::try_from(m.demand.get(now)).ok()?)))
    }

    /// Admits a request and counts it as running, unless it exceeds a limit. Each `Ok` must be
    /// followed by one [`Limiter::release`].
    pub fn admit(
        &mut self,
        now: Instant,
        key: &LimitKey,
        limits: &Limits,
    ) -> Result<(), LimitExceeded> {
        let default_share = self.default_share;
        let meter = self.meters.entry(key.clone()).or_insert_with(|| Meter {
            requests: Bucket::full(now),
            tokens: Bucket::full(now),
            running: 0,
            demand: Rate::default(),
            share: None,
            last_used: now,
        });
        meter.last_used = now;
        meter.demand.add(now, 1.0);
        let share = meter.share.unwrap_or(default_share);
        meter.check(now, limits, share)?;
        meter.running += 1;
        if limits.requests.is_some() {
            meter.requests.take(1.0);
        }
        Ok(())
    }

    /// Charges generated tokens. The bucket may become negative; requests are refused until it has
    /// recovered.
    pub fn charge_tokens(&mut self, key: &LimitKey, tokens: Tokens) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.tokens.take(tokens.0 as f64);
        }
    }

    /// Counts a running request as ended.
    pub fn release(&mut self, key: &LimitKey) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Drops meters that have not been used for a while. Cheap to call often.
    pub fn sweep(&mut self, now: Instant) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let in_use = |m: &Meter| {
            m.running > 0 || m.tokens.is_in_debt() || now.since(m.last_used) < METER_IDLE_TIMEOUT
        };
        self.meters.retain(|_, m| in_use(m));
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
        if let Some(limit) = limits.concurrent
            && self.running >= share.of_count(limit)
        {
            return over(LimitKind::Concurrent, CONCURRENT_RETRY_AFTER);
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
