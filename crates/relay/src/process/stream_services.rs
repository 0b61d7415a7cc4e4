//! Looks up the service of a resumed stream on routes that distribute streams over several services.
//!
//! New streams are distributed by weight and a hash of their attempt, so the weights determine the service until they change.
//! After a change the service is known to the VM that served the stream and to those that hold a replica of its origin.

use {
    super::{Node, stream_origins::key_at},
    crate::{
        configuration::{Config, Route},
        request::RoutedRequest,
    },
    clock::{Instant, timeout},
    origins::{Known, Origin, Origins, StreamKey},
    siphasher::sip::SipHasher13,
    std::{collections::BTreeMap, hash::Hasher, time::Duration},
    types::{Refusal, RouteId, ServiceId},
};

/// Timeout of a query to other VMs, and number of queries.
const ASK_TIME: Duration = Duration::from_millis(125);
const ASKS: u32 = 3;
/// `Retry-After` of a stream that no VM knows: its origin may still be in transit.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Times of weight changes observed by this VM, by route.
#[derive(Debug, Default)]
pub(crate) struct WeightChanges {
    routes: BTreeMap<RouteId, Instant>,
    /// When this VM applied its first configuration; earlier weights are unknown to it.
    learned: Option<Instant>,
}

impl WeightChanges {
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
        let is_current = |id: &RouteId| new.doc.routes.iter().any(|route| route.id == *id);
        self.routes.retain(|id, _| is_current(id));
        let mut changed = Vec::new();
        for route in new.doc.routes.iter().filter(|r| has_choice(r)) {
            let last = old.doc.routes.iter().find(|r| r.id == route.id);
            let Some(last) = last.filter(|last| last.split != route.split) else {
                continue;
            };
            self.routes.insert(route.id.clone(), now);
            let services = last.split.iter().chain(&route.split);
            changed.extend(services.map(|(service, _)| service.clone()));
        }
        changed
    }

    /// Whether the weights of a route have changed in the last `window`; `None` if this VM hasn't observed them for so long.
    fn changed_within(&self, now: Instant, route: &RouteId, window: Duration) -> Option<bool> {
        let is_recent = |at: &Instant| now.since(*at) < window;
        if self.routes.get(route).is_some_and(is_recent) {
            return Some(true);
        }
        let is_known = !self.learned.as_ref().is_some_and(is_recent);
        is_known.then_some(false)
    }
}

/// Whether a route distributes its streams over several services.
fn has_choice(route: &Route) -> bool {
    route.kind.is_stream() && services(route).count() > 1
}

/// The services with a positive weight.
fn services(route: &Route) -> impl Iterator<Item = &ServiceId> {
    let weighted = route.split.iter().filter(|(_, weight)| *weight > 0.0);
    weighted.map(|(service, _)| service)
}

/// Digests of the weights, by service; the same on all VMs.
fn weight_digests(config: &Config) -> BTreeMap<ServiceId, u64> {
    let mut hashers: BTreeMap<ServiceId, SipHasher13> = BTreeMap::new();
    let mut routes: Vec<_> = config.doc.routes.iter().filter(|r| has_choice(r)).collect();
    routes.sort_by_key(|route| &route.id);
    for route in routes {
        for service in services(route) {
            let hasher = hashers.entry(service.clone()).or_default();
            hasher.write(route.id.as_str().as_bytes());
            for (service, weight) in &route.split {
                hasher.write(service.as_str().as_bytes());
                hasher.write(&weight.to_le_bytes());
            }
        }
    }
    let digests = hashers.into_iter();
    digests.map(|(service, h)| (service, h.finish())).collect()
}

impl Node {
    /// Records the weights of a configuration that replaces `old`.
    pub(super) fn note_weights(&self, old: Option<&Config>, new: &Config) {
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        let digests = weight_digests(new);
        origins.known.set_weights(new.doc.version, digests);
        let is_first = self.settings.first_start;
        let changed = origins.weights.note(now, (old, new), is_first);
        if changed.is_empty() {
            return;
        }
        let windows = changed.iter().map(|s| origins.known.window(now, s));
        let window = windows.max().unwrap_or_default();
        origins.known.mark_reweighted(now, changed, now + window);
        drop(origins);
        self.origins_due.notify(usize::MAX);
    }

    /// The origin of a resumed stream, from this VM's table or another one's; `None` if the weights in force determine the
    /// service.
    pub(crate) async fn find_service(
        &self,
        request: &RoutedRequest,
    ) -> Result<Option<Origin>, Refusal> {
        let takes_up = request.caller.last_event.is_some() && request.caller.resumes.is_some();
        if !takes_up || !has_choice(&request.route) {
            return Ok(None);
        }
        let asked = self.clock.now();
        let others = services(&request.route).filter(|s| **s != request.service);
        let candidates = [&request.service].into_iter().chain(others);
        let keys: Vec<_> = candidates
            .map(|service| (service, key_at(request, service)))
            .collect();
        let window = self.origins.lock().known.window(asked, &request.service);
        let changed = self
            .origins
            .lock()
            .weights
            .changed_within(asked, &request.route.id, window);
        let found = match self.told_origin(&keys) {
            None if changed != Some(false) => self.ask_for_service(&keys).await,
            found => found,
        };
        let service = found.as_ref().map_or("", |origin| origin.service.as_str());
        log::info!(
            request:% = request.caller.id, drawn:% = request.service, service = service, weights_changed:? = changed,
            took_ms = self.clock.now().since(asked).as_millis() as u64;
            "service of a stream looked up"
        );
        if found.is_none() && changed == Some(true) {
            return Err(request.unknown_origin().with_retry_after(RETRY_AFTER));
        }
        Ok(found)
    }

    /// Looks up the origin of a stream that started at one of these services in this VM's table.
    fn told_origin(&self, keys: &[(&ServiceId, StreamKey)]) -> Option<Origin> {
        let now = self.clock.now();
        let origins = self.origins.lock();
        keys.iter().find_map(|(service, key)| {
            let release = match origins.known.find(now, key)? {
                Known::Release(release) => Some(release),
                Known::Unknown => None,
            };
            let service = (*service).clone();
            Some(Origin { service, release })
        })
    }

    /// Queries other VMs for the origin of a stream that started at one of these services.
    async fn ask_for_service(&self, keys: &[(&ServiceId, StreamKey)]) -> Option<Origin> {
        let (_, first) = keys.first()?;
        for _ in 0..ASKS {
            let ask = Origins::table_query(keys.iter().map(|(_, key)| *key));
            self.origins.lock().asks.insert(*first, ask);
            self.origins_due.notify(usize::MAX);
            let answered = async {
                loop {
                    let learned = self.origins_learned.listen();
                    match self.told_origin(keys) {
                        None => learned.await,
                        Some(origin) => return origin,
                    }
                }
            };
            if let Ok(origin) = timeout(&*self.clock, ASK_TIME, answered).await {
                return Some(origin);
            }
        }
        None
    }
}
