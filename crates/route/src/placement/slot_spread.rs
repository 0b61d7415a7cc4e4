//! Spreads requests over engines by reported free slots.
//!
//! The load pattern: most slots are taken, and all VMs see the same few engines with free ones. If each sends all its
//! requests there until the next report, these engines get many times their free slots while others run empty
//! (herding). So each VM draws an engine at random, with weights such that the requests of all VMs until the next
//! report fill the engines to the same level.

use {
    super::{cached_parts, placer::Placer},
    crate::Prompt,
    clock::Instant,
    types::EndpointId,
};

/// Scale of the random cost: engines that cost this much more are drawn a third as often.
const DRAW_SCALE: f64 = 0.05;
/// Level, as a share of the slots, below which slots aren't short enough to spread requests by them; the other costs
/// decide.
const MIN_LEVEL: f64 = 0.6;
/// Largest level, as a share of the slots, at which a group of engines has room.
const MAX_LEVEL: f64 = 0.85;
/// Weight of an engine that is filled beyond the level.
const MIN_WEIGHT: f64 = 1e-3;

/// The level to which the engines will be filled.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotSpread {
    level: f64,
}

impl SlotSpread {
    /// The level for `arrivals` at the preferred engines, or at all engines if the preferred ones have too few slots,
    /// and whether the preferred ones suffice. `None` while slots are free at all of them. `engines` lists whether
    /// each is preferred, its requests and its slots.
    pub(super) fn of_engines(
        engines: Vec<(bool, u32, u32)>,
        arrivals: f64,
    ) -> Option<(Self, bool)> {
        let running = |all: bool| {
            let group = engines.iter().filter(move |(meant, ..)| *meant || all);
            group.map(|(_, running, _)| *running)
        };
        let slots = engines.iter().map(|(.., slots)| *slots).min()?;
        let meant = Self::new(running(false), arrivals)?;
        if !meant.is_needed(slots) {
            return None;
        }
        if meant.fits(slots) {
            return Some((meant, true));
        }
        Some((Self::new(running(true), arrivals)?, false))
    }

    /// The level that `arrivals` fill engines with these numbers of requests to.
    fn new(running: impl Iterator<Item = u32>, arrivals: f64) -> Option<Self> {
        let mut running: Vec<f64> = running.map(f64::from).collect();
        running.sort_by(f64::total_cmp);
        let (mut sum, mut level) = (arrivals.max(1.0), None);
        for (at, load) in running.iter().enumerate() {
            let filled = level.is_some_and(|level| level <= *load);
            if filled {
                break;
            }
            sum += load;
            level = Some(sum / (at + 1) as f64);
        }
        level.map(|level| Self { level })
    }

    /// Whether so many slots are taken that requests have to be spread by them.
    fn is_needed(&self, slots: u32) -> bool {
        self.level >= MIN_LEVEL * f64::from(slots)
    }

    /// Whether the level is within the slots of an engine.
    fn fits(&self, slots: u32) -> bool {
        self.level <= MAX_LEVEL * f64::from(slots)
    }

    /// The random cost of an engine with `running` requests; the lowest one is drawn.
    pub(super) fn cost(&self, running: u32, prompt: &Prompt, id: &EndpointId) -> f64 {
        let weight = (1.0 - f64::from(running) / self.level).max(MIN_WEIGHT);
        // The largest of such values has each engine's share of the weights as its probability (Gumbel).
        let uniform = cached_parts::hash_fraction(prompt, id).clamp(1e-9, 1.0 - 1e-9);
        -DRAW_SCALE * (weight.ln() - (-uniform.ln()).ln())
    }
}

impl Placer {
    /// Sets the number of VMs and the mean age of their load reports.
    pub fn set_fleet(&mut self, vms: u32, load_age: std::time::Duration) {
        self.vms = vms;
        self.load_age = load_age;
    }

    /// Requests of all VMs from one report of loads to the next; `None` unless slots are short.
    pub(super) fn arrivals_between_reports(&self, now: Instant) -> Option<f64> {
        let own = self.request_meter.last_newest_rate() as f64;
        let own_demand: u64 = self.slot_meters.iter().map(|m| m.last_newest_rate()).sum();
        if !self.is_short(now) || own == 0.0 || own_demand == 0 {
            return None;
        }
        let current = self.peer_demand.values().filter(|(_, until)| *until > now);
        let others: u64 = current.map(|(demand, _)| demand.total()).sum();
        let rate = own * (1.0 + others as f64 / own_demand as f64);
        Some(rate * 2.0 * self.load_age.as_secs_f64())
    }
}
