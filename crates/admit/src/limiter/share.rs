//! Share of a fleet-wide limit that one process enforces.

use types::PerSecond;

/// Fraction of a limit that is always divided equally, so that each process can admit its first
/// caller whatever the demand.
const EQUAL_FRACTION: f64 = 0.1;

/// Share of a fleet-wide limit that one process enforces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    fraction: f64,
    processes: u32,
    index: u32,
}

impl Default for LimitShare {
    /// The whole limit.
    fn default() -> Self {
        Self::equal(1, 0)
    }
}

impl LimitShare {
    /// An equal share for the process at `index` among `processes`. All processes must agree on the
    /// order.
    pub fn equal(processes: u32, index: u32) -> Self {
        let processes = processes.max(1);
        Self {
            fraction: 1.0 / f64::from(processes),
            processes,
            index: index.min(processes - 1),
        }
    }

    /// A share in proportion to the `own` demand within that of the `fleet`. Both are the values
    /// last exchanged between the processes, so that all compute from the same figures and the
    /// shares add up to one.
    #[must_use]
    pub fn by_demand(self, own: PerSecond, fleet: PerSecond) -> Self {
        let equal = 1.0 / f64::from(self.processes);
        if fleet.get() <= 0.0 {
            return Self {
                fraction: equal,
                ..self
            };
        }
        let weighted = (own.get() / fleet.get()).min(1.0);
        Self {
            fraction: EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * weighted,
            ..self
        }
    }

    /// This process's share of a rate.
    pub(super) fn of_rate(self, rate: PerSecond) -> f64 {
        rate.get() * self.fraction
    }

    /// This process's share of a count, at least one unless the count is zero. Equal shares add up
    /// to the count, or to one per process if that is more.
    pub(super) fn of_count(self, count: u32) -> u32 {
        let equal = self.fraction * f64::from(self.processes) == 1.0;
        let share = if equal {
            count / self.processes + u32::from(self.index < count % self.processes)
        } else {
            (f64::from(count) * self.fraction).floor() as u32
        };
        if count == 0 { 0 } else { share.max(1) }
    }
}
