//! Distinguishes retries that honoured `Retry-After` from new requests and immediate retries.
//!
//! The load pattern: refused callers retry, many of them at once and before `Retry-After` has passed. The timeout of
//! each attempt is the time that the caller has left, so the time since its first attempt follows from the longest
//! timeout seen on its route. This needs no state for each caller and works on any VM.

use {
    std::{collections::HashMap, time::Duration},
    types::RouteId,
};

/// Shortest `Retry-After` of a refused request, as a share of its remaining time.
pub const MIN_RETRY_WAIT_SHARE: f64 = 0.2;
/// Largest number of routes that are tracked; requests of others count as new.
const MAX_ROUTES: usize = 4_096;

/// Longest timeout seen on each route.
#[derive(Debug, Default)]
pub struct RetryDetector(HashMap<RouteId, Duration>);

impl RetryDetector {
    /// Records a request with this timeout. Returns whether it is a retry that honoured `Retry-After`.
    pub fn record(&mut self, route: &RouteId, timeout: Duration) -> bool {
        if let Some(longest) = self.0.get_mut(route) {
            *longest = (*longest).max(timeout);
            let waited = longest.saturating_sub(timeout);
            return waited >= longest.mul_f64(MIN_RETRY_WAIT_SHARE);
        }
        if self.0.len() < MAX_ROUTES {
            self.0.insert(route.clone(), timeout);
        }
        false
    }
}
