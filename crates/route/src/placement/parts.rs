//! Which parts of prompts an endpoint likely has in its cache.

use {
    clock::Stamp,
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
    types::{EndpointId, PartId},
};

/// Time after its last use that a part is taken as cached: engines evict the least recently used.
const KEPT: Duration = Duration::from_secs(10);
/// Most parts remembered for one endpoint.
const MOST: usize = 4096;

/// Parts sent to one endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Parts(HashMap<PartId, Stamp>);

impl Parts {
    pub(super) fn touch(&mut self, now: Stamp, parts: &[(PartId, types::Tokens)]) {
        if self.0.len() >= MOST {
            self.0.retain(|_, at| now.since(*at) < KEPT);
        }
        if self.0.len() < MOST {
            self.0.extend(parts.iter().map(|(id, _)| (*id, now)));
        }
    }

    pub(super) fn has(&self, now: Stamp, part: PartId) -> bool {
        self.0.get(&part).is_some_and(|at| now.since(*at) < KEPT)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// Rendezvous weight of an endpoint for a part: all VMs agree on it without exchange.
pub(super) fn weight(part: PartId, id: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (part, id.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 for a request at an endpoint.
pub(super) fn draw(prompt: &crate::Prompt, id: &EndpointId) -> f64 {
    let mut hasher = DefaultHasher::new();
    let own = prompt.parts.last().map(|(part, _)| part);
    (own, prompt.input, id.as_str()).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
