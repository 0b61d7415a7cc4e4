//! One process's share of a limit of the fleet.

use types::PerSecond;

/// Part of a limit that is shared equally whatever the demand, so that each process can serve a first
/// caller.
const EQUAL_PART: f64 = 0.1;

/// One process's share of a limit of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    part: f64,
    live: u32,
    index: u32,
}

impl Default for LimitShare {
    /// The whole limit.
    fn default() -> Self {
        Self::equal(1, 0)
    }
}

impl LimitShare {
    /// An equal share of the process with place `index` among `live` ones, all of which agree on
    /// their order.
    pub fn equal(live: u32, index: u32) -> Self {
        let live = live.max(1);
        Self {
            part: 1.0 / f64::from(live),
            live,
            index: index.min(live - 1),
        }
    }

    /// A share by demand: `own` of the demand of the `fleet`, both as last exchanged between the
    /// processes, so that all compute with the same figures. The shares of all add up to one.
    #[must_use]
    pub fn by_demand(self, own: PerSecond, fleet: PerSecond) -> Self {
        let equal = 1.0 / f64::from(self.live);
        if fleet.get() <= 0.0 {
            return Self {
                part: equal,
                ..self
            };
        }
        let weighted = (own.get() / fleet.get()).min(1.0);
        Self {
            part: EQUAL_PART * equal + (1.0 - EQUAL_PART) * weighted,
            ..self
        }
    }

    /// This process's part of a rate.
    pub(super) fn of_rate(self, rate: PerSecond) -> f64 {
        rate.get() * self.part
    }

    /// This process's part of a count, one at least. Equal parts add up to the count, or to one for
    /// each process if that is more.
    pub(super) fn of_count(self, count: u32) -> u32 {
        let equal = self.part * f64::from(self.live) == 1.0;
        let part = if equal {
            count / self.live + u32::from(self.index < count % self.live)
        } else {
            (f64::from(count) * self.part).floor() as u32
        };
        if count == 0 { 0 } else { part.max(1) }
    }
}
