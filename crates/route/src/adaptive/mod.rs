//! Endpoint picker by load, health, prefix affinity and price.

mod limit;
mod load;
mod outlier_stats;
mod selection;

use {
    super::{
        Candidate, LoadReport, Picker, RequestOutcome, Requirements,
        table::{EndpointRow, EndpointTable},
    },
    clock::Instant,
    limit::Limit,
    load::ExternalLoad,
    outlier_stats::{OutlierStats, STRAGGLER_FACTOR},
    std::time::Duration,
    types::{EndpointId, Tier, Tokens},
};

/// Number of tiers, from tier 0, that prefer steady endpoints.
const HIGH_TIER_COUNT: u8 = 2;
/// Largest share of endpoints that may be ejected at once; one is always allowed.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Minimum number of peers to compare a straggler with.
const MIN_PEERS: usize = 2;

/// State that the adaptive picker keeps for each endpoint.
#[derive(Debug, Clone, Default)]
struct AdaptiveState {
    limit: Limit,
    health: OutlierStats,
    external: ExternalLoad,
    /// High-tier requests in flight.
    high_tier: u32,
}

impl EndpointRow<AdaptiveState> {
    fn limit(&self) -> u32 {
        self.policy.limit.get(self.candidate.slots)
    }

    fn free_slots(&self, now: Instant) -> u32 {
        if !self.open {
            return 0;
        }
        if self.policy.health.is_up() {
            return self.limit().saturating_sub(self.in_flight);
        }
        u32::from(self.policy.health.may_probe(now, self.in_flight))
    }
}

/// Picks endpoints by load, health, prefix affinity and price.
#[derive(Debug, Default)]
pub struct Adaptive {
    table: EndpointTable<AdaptiveState>,
}

fn is_high(tier: Tier) -> bool {
    tier.0 < HIGH_TIER_COUNT
}

impl Adaptive {
    /// Median inter-token time of the healthy endpoints other than `id`.
    fn peer_median(&self, id: &EndpointId) -> Option<f64> {
        let peers = self.table.rows.iter();
        let peers = peers.filter(|(other, r)| *other != id && r.open && r.policy.health.is_up());
        let mut times: Vec<f64> = peers
            .filter_map(|(_, r)| r.policy.health.inter_token())
            .collect();
        times.sort_by(f64::total_cmp);
        (times.len() >= MIN_PEERS).then(|| times[times.len() / 2])
    }

    /// Whether one more endpoint may be ejected.
    fn may_eject(&self) -> bool {
        let open = self.table.rows.values().filter(|r| r.open);
        let (all, up) = open.fold((0u32, 0u32), |(all, up), r| {
            (all + 1, up + u32::from(r.policy.health.is_up()))
        });
        let max_ejected = (f64::from(all) * MAX_EJECTED_SHARE).max(1.0) as u32;
        up > 1 && all - up < max_ejected
    }

    /// Ejects an endpoint that fails or straggles.
    fn eject_if_unhealthy(&mut self, now: Instant, id: &EndpointId) {
        let median = self.peer_median(id);
        let may_eject = self.may_eject();
        let Some(row) = self.table.rows.get_mut(id) else {
            return;
        };
        let health = &mut row.policy.health;
        let slow = median.zip(health.inter_token());
        let straggles = slow.is_some_and(|(m, own)| own > STRAGGLER_FACTOR * m);
        if !health.is_up() {
            if health.failures > 0 && health.may_probe(now, 0) {
                health.eject(now);
            }
        } else if (health.is_failing() || straggles) && may_eject {
            health.eject(now);
        }
    }

    fn start(&mut self, id: &EndpointId, tier: Tier) -> Option<Candidate> {
        let candidate = self.table.start(id)?;
        if let Some(row) = self.table.rows.get_mut(id) {
            row.policy.high_tier += u32::from(is_high(tier));
        }
        Some(candidate)
    }
}

impl Picker for Adaptive {
    fn set_candidates(&mut self, _now: Instant, candidates: &[Candidate]) {
        self.table.set_candidates(candidates);
    }

    fn can_pick(&self, now: Instant, requirements: &Requirements) -> bool {
        self.choose(now, requirements).is_some()
    }

    fn pick(&mut self, now: Instant, requirements: &Requirements) -> Option<Candidate> {
        let id = self.choose(now, requirements)?.clone();
        if let Some(row) = self.table.rows.get_mut(&id) {
            row.policy.limit.set_target(now, requirements.inter_token);
        }
        self.start(&id, requirements.tier)
    }

    fn occupy(&mut self, _now: Instant, id: &EndpointId, tier: Tier) -> Option<Candidate> {
        self.start(id, tier)
    }

    fn record_first_token(&mut self, _now: Instant, _id: &EndpointId, _after: Duration) {}

    fn record_progress(&mut self, now: Instant, id: &EndpointId, tokens: Tokens, span: Duration) {
        let Some(row) = self.table.rows.get_mut(id) else {
            return;
        };
        let size = (row.in_flight, row.candidate.slots);
        row.policy.limit.record_progress(now, tokens.0, span, size);
        row.policy.health.record_progress(tokens, span);
        self.eject_if_unhealthy(now, id);
    }

    fn release(&mut self, now: Instant, id: &EndpointId, tier: Tier, outcome: RequestOutcome) {
        let median = self.peer_median(id);
        if let Some(row) = self.table.rows.get_mut(id) {
            let high = u32::from(is_high(tier));
            row.policy.high_tier = row.policy.high_tier.saturating_sub(high);
            match outcome {
                RequestOutcome::Completed => row.policy.health.record_success(now, median),
                RequestOutcome::Failed => row.policy.health.record_failure(),
                RequestOutcome::Cancelled => {}
            }
        }
        if outcome == RequestOutcome::Failed {
            self.eject_if_unhealthy(now, id);
        }
        self.table.finish(id);
    }

    fn report_load(&mut self, now: Instant, id: &EndpointId, report: LoadReport) {
        if let Some(row) = self.table.rows.get_mut(id) {
            row.policy.external.update(now, report, row.in_flight);
        }
    }

    fn free_slots(&self, now: Instant) -> u32 {
        self.table.rows.values().map(|r| r.free_slots(now)).sum()
    }

    fn slots(&self) -> u32 {
        let up = self.table.rows.values();
        let up = up.filter(|r| r.open && r.policy.health.is_up());
        up.map(EndpointRow::limit).sum()
    }
}
