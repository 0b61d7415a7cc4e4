//! Sizing while operators have evacuated availability zones.
//!
//! The load pattern: all requests of a zone move to the others within a second, and come back later to
//! engines with empty caches. The capacity is ordered in the other zones as soon as the evacuation is
//! known, and stays there until the engines of the zone that returns are warm.

use {
    super::{ScaleOrder, ServiceView, sizer::ServiceSizer},
    clock::Instant,
    std::time::Duration,
};

/// Time after which the cheap engines of an evacuated zone are released: a short evacuation finds them
/// still running at its end.
const EVACUATED_KEEP_TIME: Duration = Duration::from_secs(10);
/// Time after an evacuation in which the engines of the zone start or warm up.
const RETURN_TIME: Duration = Duration::from_millis(7_500);

/// The last evacuation of a zone.
#[derive(Debug, Clone, Copy)]
pub(super) struct Evacuation {
    began: Instant,
    /// When it was last in force.
    last: Instant,
    /// Whether the cheap engines were released.
    released: bool,
}

impl Evacuation {
    /// Releases the cheap engines again, as the last order failed.
    pub(super) fn retry_release(&mut self) {
        self.released = false;
    }
}

impl ServiceSizer {
    /// The view without the zones that carry no load: they are evacuated, or have just returned.
    pub(super) fn zones_in_service(&mut self, now: Instant, view: &ServiceView) -> ServiceView {
        for counts in view.zones.iter().filter(|c| c.evacuated) {
            let zone = self.zones.entry(counts.zone.clone()).or_default();
            let evacuation = zone.evacuation.get_or_insert(Evacuation {
                began: now,
                last: now,
                released: false,
            });
            evacuation.last = now;
        }
        for zone in self.zones.values_mut() {
            let over = |e: &Evacuation| now.since(e.last) >= RETURN_TIME;
            if zone.evacuation.as_ref().is_some_and(over) {
                zone.evacuation = None;
                // Orders from before the evacuation don't show which capacity exists.
                zone.cheap_order = None;
                zone.steady_order = None;
            }
        }
        let mut in_service = view.clone();
        in_service.zones.retain(|c| {
            let zone = self.zones.get(&c.zone);
            zone.is_none_or(|z| z.evacuation.is_none())
        });
        in_service
    }

    /// Orders that release the cheap engines of zones that have been evacuated for long.
    pub(super) fn release_evacuated(
        &mut self,
        now: Instant,
        view: &ServiceView,
        orders: &mut Vec<ScaleOrder>,
    ) {
        for counts in view.zones.iter().filter(|c| c.evacuated && c.cheap > 0) {
            let zone = self.zones.get_mut(&counts.zone);
            let Some(evacuation) = zone.and_then(|z| z.evacuation.as_mut()) else {
                continue;
            };
            if !evacuation.released && now.since(evacuation.began) >= EVACUATED_KEEP_TIME {
                evacuation.released = true;
                orders.push(ScaleOrder {
                    zone: counts.zone.clone(),
                    cheap: true,
                    count: 0,
                });
            }
        }
    }
}
