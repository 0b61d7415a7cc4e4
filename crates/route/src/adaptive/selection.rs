//! Endpoint selection of the adaptive picker.

use {
    super::{Adaptive, AdaptiveState, is_high},
    crate::{Requirements, table::EndpointRow},
    clock::Instant,
    std::hash::{DefaultHasher, Hash, Hasher},
    types::EndpointId,
};

/// Load up to which an endpoint still gets requests for its cached prefixes, relative to the mean
/// load. One request more than that is allowed.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Free slots on steady endpoints, and high-tier requests on cheap ones, which would need those slots
/// if the cheap endpoints were reclaimed.
struct SteadyHeadroom {
    free_slots: u32,
    displaced: u32,
}

impl Adaptive {
    /// Chooses the endpoint for a request: first an ejected one whose probe is due, then the
    /// preferred kind (steady for high tiers, cheap for low ones), and within it prefix affinity
    /// before load.
    pub(super) fn choose(&self, now: Instant, requirements: &Requirements) -> Option<&EndpointId> {
        if let Some(probe) = self.probe(now, requirements) {
            return Some(probe);
        }
        let rows = self.table.rows.values();
        let available: Vec<_> = rows.filter(|r| is_available(r, requirements)).collect();
        let (cheap, steady): (Vec<_>, Vec<_>) = available.iter().partition(|r| r.candidate.cheap);
        let headroom = self.steady_headroom();
        let order = if is_high(requirements.tier) {
            [steady, cheap]
        } else {
            let steady_allowed = if headroom.allows_steady() {
                steady
            } else {
                Vec::new()
            };
            [cheap, steady_allowed]
        };
        let group = order.into_iter().find(|rows| !rows.is_empty())?;
        let chosen = self.cached_endpoint(now, requirements, &group);
        let chosen = chosen.or_else(|| least_loaded(now, &group))?;
        Some(&chosen.candidate.id)
    }

    /// An ejected endpoint whose probe is due. Only idempotent requests are sent as probes.
    fn probe(&self, now: Instant, requirements: &Requirements) -> Option<&EndpointId> {
        if !requirements.idempotent {
            return None;
        }
        let rows = self.table.rows.values();
        let mut due = rows.filter(|r| r.open && r.policy.health.may_probe(now, r.in_flight));
        let due = due.find(|r| !requirements.avoid.contains(&r.candidate.id))?;
        Some(&due.candidate.id)
    }

    /// The endpoint that likely has the prompt's prefix cached, by rendezvous hashing, unless its
    /// load exceeds the affinity bound.
    fn cached_endpoint<'a>(
        &self,
        now: Instant,
        requirements: &Requirements,
        rows: &[&'a EndpointRow<AdaptiveState>],
    ) -> Option<&'a EndpointRow<AdaptiveState>> {
        if requirements.prefix_hash == 0 {
            return None;
        }
        let cheap = rows.first()?.candidate.cheap;
        let up = self.table.rows.values();
        let up = up.filter(|r| r.open && r.policy.health.is_up() && r.candidate.cheap == cheap);
        let preferred =
            up.max_by_key(|r| rendezvous_weight(requirements.prefix_hash, &r.candidate.id))?;
        let row = rows
            .iter()
            .find(|r| r.candidate.id == preferred.candidate.id)?;
        let mean = rows.iter().map(|r| relative_load(now, r)).sum::<f64>() / rows.len() as f64;
        let one_request = 1.0 / f64::from(row.limit());
        (relative_load(now, row) <= AFFINITY_LOAD_FACTOR * mean + one_request).then_some(*row)
    }

    fn steady_headroom(&self) -> SteadyHeadroom {
        let mut headroom = SteadyHeadroom {
            free_slots: 0,
            displaced: 0,
        };
        for row in self.table.rows.values().filter(|r| r.open) {
            if row.candidate.cheap {
                headroom.displaced += row.policy.high_tier;
            } else if row.policy.health.is_up() {
                headroom.free_slots += row.limit().saturating_sub(row.in_flight);
            }
        }
        headroom
    }
}

impl SteadyHeadroom {
    /// Whether a low-tier request may take a steady slot and still leave one for each displaced
    /// request.
    fn allows_steady(&self) -> bool {
        self.displaced < self.free_slots
    }
}

fn is_available(row: &EndpointRow<AdaptiveState>, requirements: &Requirements) -> bool {
    let health = &row.policy.health;
    row.accepts(requirements) && health.is_up() && row.in_flight < row.limit()
}

/// Load if one more request were sent, as a share of the endpoint's limit. Recent failures count as
/// requests.
fn relative_load(now: Instant, row: &EndpointRow<AdaptiveState>) -> f64 {
    let external = row.policy.external.estimate(now);
    let requests = f64::from(row.in_flight + row.policy.health.failures) + 1.0 + external;
    requests / f64::from(row.limit())
}

fn least_loaded<'a>(
    now: Instant,
    rows: &[&'a EndpointRow<AdaptiveState>],
) -> Option<&'a EndpointRow<AdaptiveState>> {
    let order = |a: &&&EndpointRow<AdaptiveState>, b: &&&EndpointRow<AdaptiveState>| {
        relative_load(now, a).total_cmp(&relative_load(now, b))
    };
    rows.iter().min_by(order).copied()
}

/// Rendezvous weight of an endpoint for a prefix.
fn rendezvous_weight(prefix: u64, id: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, id.as_str()).hash(&mut hasher);
    hasher.finish()
}
