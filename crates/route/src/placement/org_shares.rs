//! Shares of the organisations in slots that are too few.
//!
//! The load pattern: one organisation sends many times its usual while slots are short. Max-min fairness serves an
//! organisation below its fair share in full and divides the rest equally, so the one that sends most is refused
//! first. As there are many organisations, VMs report only the largest; the rest count as equal.

use {
    super::load::Reporter,
    clock::Instant,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
    types::{OrgId, Urgency},
};

/// Time constant of the decay of an organisation's demand: about as long as slots are held, so that one whose burst
/// has ended soon regains its share.
const MEMORY: Duration = Duration::from_secs(2);
/// Largest number of organisations tracked by a VM; those with the least demand are evicted.
const MAX_ORGS: usize = 512;
/// Smallest demand that is kept, in milliseconds of slot time a second.
const MIN_DEMAND: f64 = 1.0;
/// Largest number of organisations in a report.
const MAX_ROWS: usize = 8;

/// Slot demand of an organisation at one urgency.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgRow {
    /// The organisation.
    pub org: OrgId,
    /// Urgency of the requests.
    pub urgency: Urgency,
    /// Milliseconds of slot time for each second.
    pub ms: u32,
}

/// A decayed amount, and when it was updated.
#[derive(Debug, Clone, Copy)]
struct Decayed {
    value: f64,
    updated: Instant,
}

impl Decayed {
    fn at(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.value * (-age / MEMORY.as_secs_f64()).exp()
    }
}

/// Rows reported by another VM or hub, and their expiry.
type ReportedRows = (Vec<OrgRow>, Instant);

/// Demand by organisation and urgency: of this VM, and the largest of the other VMs.
#[derive(Debug, Default)]
pub(super) struct OrgShares {
    own: HashMap<(OrgId, Urgency), Decayed>,
    peers: BTreeMap<Reporter, ReportedRows>,
    /// Number of organisations in the configuration.
    pub(super) orgs: usize,
}

impl OrgShares {
    /// Counts a request with an expected slot time of `ms`.
    pub(super) fn record(&mut self, now: Instant, org: &OrgId, urgency: Urgency, ms: f64) {
        if self.own.len() >= MAX_ORGS {
            self.own.retain(|_, d| d.at(now) >= MIN_DEMAND);
        }
        if self.own.len() >= MAX_ORGS && !self.own.contains_key(&(org.clone(), urgency)) {
            return;
        }
        let demand = self.own.entry((org.clone(), urgency)).or_insert(Decayed {
            value: 0.0,
            updated: now,
        });
        demand.value = demand.at(now) + ms / MEMORY.as_secs_f64();
        demand.updated = now;
    }

    /// The largest organisations of this VM.
    pub(super) fn own_rows(&self, now: Instant) -> Vec<OrgRow> {
        let rows = self.own.iter().map(|((org, urgency), demand)| OrgRow {
            org: org.clone(),
            urgency: *urgency,
            ms: demand.at(now) as u32,
        });
        largest(rows)
    }

    pub(super) fn set_peer(&mut self, reporter: &Reporter, rows: Vec<OrgRow>, until: Instant) {
        if rows.is_empty() {
            self.peers.remove(reporter);
        } else {
            self.peers.insert(reporter.clone(), (rows, until));
        }
    }

    /// The largest organisations of this VM and of those whose reporters match.
    pub(super) fn summed_rows(
        &self,
        now: Instant,
        matches: impl Fn(&Reporter) -> bool,
    ) -> Vec<OrgRow> {
        let mut sums: BTreeMap<(OrgId, Urgency), u32> = BTreeMap::new();
        let reported = self.peers.iter();
        let reported = reported.filter(|(reporter, (_, until))| *until > now && matches(reporter));
        let reported = reported.flat_map(|(_, (rows, _))| rows.iter().cloned());
        for row in reported.chain(self.own_rows(now)) {
            let sum = sums.entry((row.org, row.urgency)).or_default();
            *sum = sum.saturating_add(row.ms);
        }
        let rows = sums.into_iter();
        largest(rows.map(|((org, urgency), ms)| OrgRow { org, urgency, ms }))
    }

    /// Share of an organisation's requests to admit at an urgency with this capacity (`room`) and demand, both in
    /// milliseconds of slot time a second.
    pub(super) fn share(
        &self,
        now: Instant,
        (org, urgency): (&OrgId, Urgency),
        (room, demand): (f64, f64),
    ) -> f64 {
        if demand <= room {
            return 1.0;
        }
        let rows = self.summed_rows(now, |_| true);
        let rows: Vec<_> = rows.iter().filter(|r| r.urgency == urgency).collect();
        let known: f64 = rows.iter().map(|r| f64::from(r.ms)).sum();
        let others = self.orgs.saturating_sub(rows.len()).max(1) as f64;
        let each = (demand - known).max(0.0) / others;
        let wanted = rows.iter().map(|r| (f64::from(r.ms), 1.0));
        let level = water_level(wanted.chain([(each, others)]).collect(), room);
        let own = rows.iter().find(|r| r.org == *org);
        let own = own.map_or(each, |r| f64::from(r.ms));
        (level / own.max(MIN_DEMAND)).clamp(0.0, 1.0)
    }
}

fn largest(rows: impl Iterator<Item = OrgRow>) -> Vec<OrgRow> {
    let mut rows: Vec<_> = rows.filter(|r| r.ms > 0).collect();
    rows.sort_unstable_by(|a, b| (b.ms, &a.org).cmp(&(a.ms, &b.org)));
    rows.truncate(MAX_ROWS);
    rows
}

/// The water-filling level: the largest allocation to each organisation such that all together use `room` (max-min
/// fairness). `wanted` lists demands and the number of organisations that have each.
fn water_level(mut wanted: Vec<(f64, f64)>, room: f64) -> f64 {
    wanted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut count: f64 = wanted.iter().map(|(_, n)| n).sum();
    let mut left = room.max(0.0);
    for (amount, n) in wanted {
        if amount * count >= left {
            return left / count.max(1.0);
        }
        left -= amount * n;
        count -= n;
    }
    f64::INFINITY
}
