//! Expected cache state of a prompt at an endpoint.

use {
    super::{kv_sources::KvSources, tracked_endpoint::TrackedEndpoint},
    crate::Prompt,
    clock::Instant,
    std::time::Duration,
    types::EndpointId,
};

/// Minimum number of shared tokens for which affinity and fetching pay off: setting up a fetch
/// takes as long as prefilling a few hundred tokens.
pub(super) const MIN_SHARED_TOKENS: u64 = 1_000;
/// Share of a shared part that is assumed to be cached at each of its preferred endpoints, in order
/// of preference, once their caches have filled.
pub(super) const PREFERRED_CACHED_SHARES: [f64; 4] = [0.85, 0.3, 0.15, 0.1];
/// Time constant in which a new endpoint's cache fills: about the time between two requests of a
/// session.
pub(super) const CACHE_FILL_TIME: Duration = Duration::from_secs(5);
/// Expected cache state of a prompt at one endpoint, in tokens.
pub(super) struct CacheEstimate {
    /// In the endpoint's cache.
    pub(super) cached: f64,
    /// To be fetched from another endpoint.
    pub(super) fetched: f64,
    /// Shared tokens to be prefilled again.
    pub(super) recomputed: f64,
    /// Endpoint to fetch from.
    pub(super) kv_source: Option<EndpointId>,
}

impl CacheEstimate {
    pub(super) fn at(
        now: Instant,
        prompt: &Prompt,
        entry: &TrackedEndpoint,
        preference: Option<usize>,
        kv_sources: &KvSources,
    ) -> Self {
        let age = now.since(entry.cold_since).as_secs_f64() / CACHE_FILL_TIME.as_secs_f64();
        let filled = 1.0 - (-age).exp();
        let last = prompt.parts.len().saturating_sub(1);
        let (mut cached, mut missing_shared, mut prefix_broken) = (0.0, 0.0, false);
        for (at, (part, tokens)) in prompt.parts.iter().enumerate() {
            let tokens = tokens.0 as f64;
            let share = match preference {
                _ if prefix_broken => 0.0,
                _ if entry.cached_parts.contains(now, *part) => 1.0,
                Some(rank) if at < last => PREFERRED_CACHED_SHARES[rank] * filled,
                _ => 0.0,
            };
            prefix_broken |= share == 0.0;
            cached += share * tokens;
            if at < last {
                missing_shared += (1.0 - share) * tokens;
            }
        }
        let kv_source = kv_sources
            .source_for(entry)
            .filter(|_| missing_shared >= MIN_SHARED_TOKENS as f64)
            .cloned();
        let fetched = match kv_source {
            Some(_) => missing_shared * PREFERRED_CACHED_SHARES[0],
            None => 0.0,
        };
        Self {
            cached,
            fetched,
            recomputed: missing_shared - fetched,
            kv_source,
        }
    }

    /// Tokens that the endpoint has to prefill.
    pub(super) fn prefill_tokens(&self, prompt: &Prompt) -> u64 {
        let available = (self.cached + self.fetched) as u64;
        prompt.input.0.saturating_sub(available)
    }
}
