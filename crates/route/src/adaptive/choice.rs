//! The choice itself: which of the endpoints with room takes a request.

use {
    super::{Adaptive, Extra, is_high},
    crate::{Requirements, table::Row},
    clock::Stamp,
    std::hash::{DefaultHasher, Hash, Hasher},
    types::EndpointId,
};

/// Load of an endpoint that still takes requests for its cached prefixes, in mean loads; one request
/// more is allowed.
const AFFINITY: f64 = 1.25;

/// Room on steady endpoints and high tiers on cheap ones.
struct Price {
    steady_free: u32,
    displaced: u32,
}

impl Adaptive {
    /// The endpoint that takes a request now.
    pub(super) fn choose(&self, now: Stamp, need: &Requirements) -> Option<&EndpointId> {
        if let Some(probe) = self.probe(now, need) {
            return Some(probe);
        }
        let rows = self.table.rows.values();
        let fitting: Vec<_> = rows.filter(|r| takes(r, need)).collect();
        let (cheap, steady): (Vec<_>, Vec<_>) = fitting.iter().partition(|r| r.target.cheap);
        let price = self.price();
        let order = if is_high(need.tier) {
            [steady, cheap]
        } else {
            let over = if price.allows_steady() {
                steady
            } else {
                Vec::new()
            };
            [cheap, over]
        };
        let kind = order.into_iter().find(|rows| !rows.is_empty())?;
        let chosen = self.cached(now, need, &kind);
        let chosen = chosen.or_else(|| least(now, &kind))?;
        Some(&chosen.target.id)
    }

    /// An ejected endpoint whose probe is due.
    fn probe(&self, now: Stamp, need: &Requirements) -> Option<&EndpointId> {
        if !need.idempotent {
            return None;
        }
        let rows = self.table.rows.values();
        let mut due = rows.filter(|r| r.open && r.extra.health.may_probe(now, r.flying));
        let due = due.find(|r| !need.avoid.contains(&r.target.id))?;
        Some(&due.target.id)
    }

    /// The endpoint that likely has the prompt's start cached, unless it has more than its load.
    fn cached<'a>(
        &self,
        now: Stamp,
        need: &Requirements,
        rows: &[&'a Row<Extra>],
    ) -> Option<&'a Row<Extra>> {
        if need.prefix_hash == 0 {
            return None;
        }
        let cheap = rows.first()?.target.cheap;
        let up = self.table.rows.values();
        let up = up.filter(|r| r.open && r.extra.health.is_up() && r.target.cheap == cheap);
        let home = up.max_by_key(|r| weight(need.prefix_hash, &r.target.id))?;
        let row = rows.iter().find(|r| r.target.id == home.target.id)?;
        let mean = rows.iter().map(|r| load(now, r)).sum::<f64>() / rows.len() as f64;
        let one = 1.0 / f64::from(row.limit());
        (load(now, row) <= AFFINITY * mean + one).then_some(*row)
    }

    fn price(&self) -> Price {
        let mut price = Price {
            steady_free: 0,
            displaced: 0,
        };
        for row in self.table.rows.values().filter(|r| r.open) {
            if row.target.cheap {
                price.displaced += row.extra.high;
            } else if row.extra.health.is_up() {
                price.steady_free += row.limit().saturating_sub(row.flying);
            }
        }
        price
    }
}

impl Price {
    /// Whether one more request of a low tier on a steady endpoint leaves that room.
    fn allows_steady(&self) -> bool {
        self.displaced < self.steady_free
    }
}

fn takes(row: &Row<Extra>, need: &Requirements) -> bool {
    let health = &row.extra.health;
    row.has_room(need) && health.is_up() && row.flying < row.limit()
}

/// Requests at the endpoint for each that it can hold; failures count as requests.
fn load(now: Stamp, row: &Row<Extra>) -> f64 {
    let foreign = row.extra.foreign.get(now);
    let requests = f64::from(row.flying + row.extra.health.failures) + 1.0 + foreign;
    requests / f64::from(row.limit())
}

fn least<'a>(now: Stamp, rows: &[&'a Row<Extra>]) -> Option<&'a Row<Extra>> {
    let order = |a: &&&Row<Extra>, b: &&&Row<Extra>| load(now, a).total_cmp(&load(now, b));
    rows.iter().min_by(order).copied()
}

/// Rendezvous weight of an endpoint for a prefix.
fn weight(prefix: u64, id: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, id.as_str()).hash(&mut hasher);
    hasher.finish()
}
