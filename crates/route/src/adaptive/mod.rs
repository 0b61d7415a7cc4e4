//! Endpoint choice by load, health, cached prefixes and price.

mod choice;
mod health;
mod limit;
mod load;

use {
    super::{
        Candidate, LoadReport, Picker, RequestOutcome, Requirements,
        table::{Row, Table},
    },
    clock::Stamp,
    health::{Health, STRAGGLER},
    limit::Limit,
    load::Foreign,
    std::time::Duration,
    types::{EndpointId, Tier, Tokens},
};

/// Tiers from 0 that count as high: they prefer steady endpoints.
const HIGH_TIERS: u8 = 2;
/// Largest share of endpoints that may be ejected at once; one may be in any case.
const EJECTED_SHARE: f64 = 0.34;
/// Fewest peers that a straggler is compared with.
const MIN_PEERS: usize = 2;

/// What is kept of an endpoint.
#[derive(Debug, Clone, Default)]
struct Extra {
    limit: Limit,
    health: Health,
    foreign: Foreign,
    /// Requests of high tiers in flight.
    high: u32,
}

impl Row<Extra> {
    fn limit(&self) -> u32 {
        self.extra.limit.get(self.target.slots)
    }

    fn room(&self, now: Stamp) -> u32 {
        if !self.open {
            return 0;
        }
        if self.extra.health.is_up() {
            return self.limit().saturating_sub(self.flying);
        }
        u32::from(self.extra.health.may_probe(now, self.flying))
    }
}

/// Chooses by load, health, cached prefixes and price.
#[derive(Debug, Default)]
pub struct Adaptive {
    table: Table<Extra>,
}

fn is_high(tier: Tier) -> bool {
    tier.0 < HIGH_TIERS
}

impl Adaptive {
    /// Median time between tokens of the endpoints that are up, besides `id`.
    fn peers(&self, id: &EndpointId) -> Option<f64> {
        let peers = self.table.rows.iter();
        let peers = peers.filter(|(other, r)| *other != id && r.open && r.extra.health.is_up());
        let mut times: Vec<f64> = peers
            .filter_map(|(_, r)| r.extra.health.between())
            .collect();
        times.sort_by(f64::total_cmp);
        (times.len() >= MIN_PEERS).then(|| times[times.len() / 2])
    }

    /// Whether one more endpoint may be ejected.
    fn may_eject(&self) -> bool {
        let open = self.table.rows.values().filter(|r| r.open);
        let (all, up) = open.fold((0u32, 0u32), |(all, up), r| {
            (all + 1, up + u32::from(r.extra.health.is_up()))
        });
        let most = (f64::from(all) * EJECTED_SHARE).max(1.0) as u32;
        up > 1 && all - up < most
    }

    /// Ejects an endpoint that fails or falls behind its peers.
    fn judge(&mut self, now: Stamp, id: &EndpointId) {
        let median = self.peers(id);
        let may_eject = self.may_eject();
        let Some(row) = self.table.rows.get_mut(id) else {
            return;
        };
        let health = &mut row.extra.health;
        let slow = median.zip(health.between());
        let straggles = slow.is_some_and(|(m, own)| own > STRAGGLER * m);
        if !health.is_up() {
            if health.failures > 0 && health.may_probe(now, 0) {
                health.eject(now);
            }
        } else if (health.is_failing() || straggles) && may_eject {
            health.eject(now);
        }
    }

    fn start(&mut self, id: &EndpointId, tier: Tier) -> Option<Candidate> {
        let target = self.table.start(id)?;
        if let Some(row) = self.table.rows.get_mut(id) {
            row.extra.high += u32::from(is_high(tier));
        }
        Some(target)
    }
}

impl Picker for Adaptive {
    fn set_candidates(&mut self, _now: Stamp, targets: &[Candidate]) {
        self.table.set(targets);
    }

    fn can_pick(&self, now: Stamp, need: &Requirements) -> bool {
        self.choose(now, need).is_some()
    }

    fn pick(&mut self, now: Stamp, need: &Requirements) -> Option<Candidate> {
        let id = self.choose(now, need)?.clone();
        if let Some(row) = self.table.rows.get_mut(&id) {
            row.extra.limit.aim(now, need.inter_token);
        }
        self.start(&id, need.tier)
    }

    fn occupy(&mut self, _now: Stamp, id: &EndpointId, tier: Tier) -> Option<Candidate> {
        self.start(id, tier)
    }

    fn first_token(&mut self, _now: Stamp, _id: &EndpointId, _after: Duration) {}

    fn progress(&mut self, now: Stamp, id: &EndpointId, tokens: Tokens, span: Duration) {
        let Some(row) = self.table.rows.get_mut(id) else {
            return;
        };
        let size = (row.flying, row.target.slots);
        row.extra.limit.progress(now, tokens.0, span, size);
        row.extra.health.progress(tokens, span);
        self.judge(now, id);
    }

    fn release(&mut self, now: Stamp, id: &EndpointId, tier: Tier, ending: RequestOutcome) {
        let median = self.peers(id);
        if let Some(row) = self.table.rows.get_mut(id) {
            let high = u32::from(is_high(tier));
            row.extra.high = row.extra.high.saturating_sub(high);
            match ending {
                RequestOutcome::Completed => row.extra.health.succeeded(now, median),
                RequestOutcome::Failed => row.extra.health.failed(),
                RequestOutcome::Cancelled => {}
            }
        }
        if ending == RequestOutcome::Failed {
            self.judge(now, id);
        }
        self.table.finish(id);
    }

    fn report_load(&mut self, now: Stamp, id: &EndpointId, report: LoadReport) {
        if let Some(row) = self.table.rows.get_mut(id) {
            row.extra.foreign.report(now, report, row.flying);
        }
    }

    fn free_slots(&self, now: Stamp) -> u32 {
        self.table.rows.values().map(|r| r.room(now)).sum()
    }

    fn slots(&self) -> u32 {
        let up = self.table.rows.values();
        let up = up.filter(|r| r.open && r.extra.health.is_up());
        up.map(Row::limit).sum()
    }
}
