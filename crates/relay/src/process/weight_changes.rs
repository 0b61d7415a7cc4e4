//! Which services the routing weights of the last resume window select for a stream.

use {
    crate::configuration::{Config, Route, select_service},
    clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    types::{Era, RouteId, ServiceId},
};

/// Longest time for which replaced weights are remembered; no resume window is longer.
const HISTORY_TIME: Duration = Duration::from_secs(3_600);
/// Largest number of replaced weights of one route that are remembered.
const MAX_REPLACED: usize = 64;
/// Longest time by which VMs differ in when they apply a configuration, with a margin.
const APPLY_MARGIN: Duration = Duration::from_secs(10);

/// Weights of a route that were replaced, and when this VM received the next ones.
#[derive(Debug)]
struct ReplacedSplit {
    split: Vec<(ServiceId, f64)>,
    at: Instant,
}

/// Whether earlier weights select another service for a new stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reroute {
    /// They don't.
    None,
    /// Unknown: this VM has observed the weights for too short a time.
    Unknown,
    /// They do, and the route still allows it.
    Allowed,
    /// They do, and the route doesn't allow it now.
    Moved,
}

/// Changes of routing weights observed by this VM, by route.
#[derive(Debug, Default)]
pub(crate) struct WeightChanges {
    /// Oldest first.
    replaced: BTreeMap<RouteId, VecDeque<ReplacedSplit>>,
    /// When this VM applied its first configuration; earlier weights are unknown to it.
    learned: Option<Instant>,
    /// Era of the store at the first change that is remembered. A later one may have lost logged origins.
    pub(super) era: Option<Era>,
}

impl WeightChanges {
    /// Sets the era of the store, which counts while changes are remembered.
    pub(super) fn set_era(&mut self, era: Option<Era>) {
        if self.replaced.is_empty() {
            self.era = None;
        } else if self.era.is_none() {
            self.era = era;
        }
    }

    /// Records the weights of a configuration that replaces `old`; returns the services between which they have changed.
    /// `is_first`: the system starts for the first time.
    pub(super) fn note(
        &mut self,
        now: Instant,
        (old, new): (Option<&Config>, &Config),
        is_first: bool,
    ) -> Vec<ServiceId> {
        let Some(old) = old else {
            self.learned = (!is_first).then_some(now);
            return Vec::new();
        };
        self.replaced.retain(|id, replaced| {
            replaced.retain(|r| now.since(r.at) < HISTORY_TIME);
            !replaced.is_empty() && new.doc.routes.iter().any(|route| route.id == *id)
        });
        let mut changed = Vec::new();
        for route in new.doc.routes.iter().filter(|r| r.kind.is_stream()) {
            let last = old.doc.routes.iter().find(|r| r.id == route.id);
            let Some(last) = last.filter(|last| last.split != route.split) else {
                continue;
            };
            let replaced = self.replaced.entry(route.id.clone()).or_default();
            replaced.push_back(ReplacedSplit {
                split: last.split.clone(),
                at: now,
            });
            if replaced.len() > MAX_REPLACED {
                replaced.pop_front();
            }
            if has_choice(route) {
                let services = last.split.iter().chain(&route.split);
                changed.extend(services.map(|(service, _)| service.clone()));
            }
        }
        changed
    }

    /// Whether streams that can be resumed in `window` may have started under earlier weights of a route; `None` if this VM hasn't
    /// observed them for long enough.
    pub(super) fn changed_within(
        &self,
        now: Instant,
        route: &RouteId,
        window: Duration,
    ) -> Option<bool> {
        let span = window + APPLY_MARGIN;
        if self.replaced_within(now, route, span).next().is_some() {
            return Some(true);
        }
        let is_known = self.learned.is_none_or(|at| now.since(at) >= span);
        is_known.then_some(false)
    }

    fn replaced_within(
        &self,
        now: Instant,
        route: &RouteId,
        span: Duration,
    ) -> impl Iterator<Item = &[(ServiceId, f64)]> {
        let replaced = self.replaced.get(route).into_iter().flatten();
        let recent = replaced.filter(move |r| now.since(r.at) < span);
        recent.map(|r| &r.split[..])
    }

    /// The replaced weights of a route, latest first, back to a time of `gap` without a change.
    fn latest_run(
        &self,
        now: Instant,
        route: &RouteId,
        gap: Duration,
    ) -> impl Iterator<Item = &ReplacedSplit> {
        let replaced = self.replaced.get(route).into_iter().flatten().rev();
        let mut next = now;
        replaced.take_while(move |r| {
            let is_near = next.since(r.at) < gap;
            next = r.at;
            is_near
        })
    }

    /// The service at which a stream started that isn't logged, on a route whose weights have changed; `None` if this VM doesn't
    /// know it.
    pub(super) fn unlogged_service(
        &self,
        now: Instant,
        (route, draw): (&Route, f64),
        window: Duration,
    ) -> Option<&ServiceId> {
        let span = window + APPLY_MARGIN;
        let oldest = self.latest_run(now, &route.id, span).last()?;
        let is_observed = self.learned.is_none_or(|at| oldest.at.since(at) >= span);
        let service = select_service(&oldest.split, draw)?;
        is_observed.then_some(service)
    }

    /// Whether VMs may take another service for the one of a new stream if it isn't logged.
    pub(super) fn reroute(
        &self,
        now: Instant,
        (route, draw): (&Route, f64),
        service: &ServiceId,
        window: Duration,
    ) -> Reroute {
        // Other VMs may have observed a span without a change where this one has not, and the other way round.
        let longest = window + APPLY_MARGIN * 2;
        if self.learned.is_some_and(|at| now.since(at) < longest) && has_choice(route) {
            return Reroute::Unknown;
        }
        let run: Vec<_> = self.latest_run(now, &route.id, longest).collect();
        let oldest = run.last().into_iter().copied();
        let long_lived = run.windows(2).filter_map(|pair| {
            let lasted = pair[0].at.since(pair[1].at) >= window;
            lasted.then_some(pair[0])
        });
        let selected = oldest
            .chain(long_lived)
            .filter_map(|r| select_service(&r.split, draw));
        let others: BTreeSet<_> = selected.filter(|s| *s != service).collect();
        if others.is_empty() {
            Reroute::None
        } else if services(route).any(|s| others.contains(s)) {
            Reroute::Allowed
        } else {
            Reroute::Moved
        }
    }

    /// The services at which a stream may have started that this route still allows: those that the weights select for it
    /// under which streams started that can be resumed in `window`.
    pub(super) fn possible_services<'a>(
        &'a self,
        now: Instant,
        (route, draw): (&'a Route, f64),
        window: Duration,
    ) -> BTreeSet<&'a ServiceId> {
        let replaced = self.replaced_within(now, &route.id, window + APPLY_MARGIN);
        let splits = replaced.chain([&route.split[..]]);
        let selected = splits.filter_map(|split| select_service(split, draw));
        selected
            .filter(|selected| services(route).any(|s| s == *selected))
            .collect()
    }
}

/// Whether a route distributes its streams over several services.
pub(super) fn has_choice(route: &Route) -> bool {
    route.kind.is_stream() && services(route).count() > 1
}

/// The services with a positive weight.
pub(super) fn services(route: &Route) -> impl Iterator<Item = &ServiceId> {
    let weighted = route.split.iter().filter(|(_, weight)| *weight > 0.0);
    weighted.map(|(service, _)| service)
}

#[cfg(test)]
#[path = "weight_changes_tests.rs"]
mod tests;
