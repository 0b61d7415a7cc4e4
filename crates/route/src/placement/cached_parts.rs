//! Prompt parts that an endpoint likely has in its KV cache.

use {
    clock::Instant,
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
    types::{EndpointId, PromptPartId},
};

/// Time since its last use for which a part is assumed to be cached; engines evict least recently
/// used parts.
const CACHE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of parts tracked for one endpoint.
const MAX_PARTS: usize = 4096;

/// Prompt parts sent to one endpoint, with the time of their last use.
#[derive(Debug, Clone, Default)]
pub(super) struct CachedParts(HashMap<PromptPartId, Instant>);

impl CachedParts {
    pub(super) fn insert(&mut self, now: Instant, parts: &[(PromptPartId, types::Tokens)]) {
        if self.0.len() >= MAX_PARTS {
            self.0.retain(|_, at| now.since(*at) < CACHE_LIFETIME);
        }
        if self.0.len() < MAX_PARTS {
            self.0.extend(parts.iter().map(|(id, _)| (*id, now)));
        }
    }

    pub(super) fn contains(&self, now: Instant, part: PromptPartId) -> bool {
        self.0
            .get(&part)
            .is_some_and(|at| now.since(*at) < CACHE_LIFETIME)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// Rendezvous hash of an endpoint for a part. All VMs compute the same without coordination.
pub(super) fn rendezvous_weight(part: PromptPartId, id: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (part, id.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Deterministic pseudo-random number from 0 to 1 for a request at an endpoint.
pub(super) fn hash_fraction(prompt: &crate::Prompt, id: &EndpointId) -> f64 {
    let mut hasher = DefaultHasher::new();
    let own = prompt.parts.last().map(|(part, _)| part);
    (own, prompt.input, id.as_str()).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
