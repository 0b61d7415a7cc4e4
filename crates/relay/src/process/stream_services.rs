//! Which service of a route with several began a stream that a caller takes up.
//!
//! New streams are distributed by weight and a hash of their attempt, so the weights of that moment tell the service. After a
//! change of the weights they don't: the VMs that served the stream or hold a replica of its origin do.

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

/// Time that other VMs get to say which service began a stream, and how often they are asked.
const ASK_TIME: Duration = Duration::from_millis(125);
const ASKS: u32 = 3;
/// `Retry-After` of a stream that no VM knows: one may be heard of yet.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// When the weights of routes changed, as far as this VM knows.
#[derive(Debug, Default)]
pub(crate) struct WeightChanges {
    routes: BTreeMap<RouteId, Instant>,
    /// When this VM learnt the weights of all routes; before, they may have been others.
    learned: Option<Instant>,
}

impl WeightChanges {
    /// Notes the weights of a configuration that replaces `old`; returns the services between which weights have changed.
    /// `is_first` tells whether the whole system starts for the first time.
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

    /// Whether the weights of a route have changed in the last `window`; `None` if this VM hasn't known them for so long.
    fn changed_within(&self, now: Instant, route: &RouteId, window: Duration) -> Option<bool> {
        let is_recent = |at: &Instant| now.since(*at) < window;
        if self.routes.get(route).is_some_and(is_recent) {
            return Some(true);
        }
        let is_known = !self.learned.as_ref().is_some_and(is_recent);
        is_known.then_some(false)
    }
}

/// Whether the weights decide which service a stream of a route begins at.
fn has_choice(route: &Route) -> bool {
    route.kind.is_stream() && services(route).count() > 1
}

/// The services that a route sends requests to.
fn services(route: &Route) -> impl Iterator<Item = &ServiceId> {
    let weighted = route.split.iter().filter(|(_, weight)| *weight > 0.0);
    weighted.map(|(service, _)| service)
}

/// A digest of the weights of all routes that send streams to a service and to others, the same at all VMs.
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
    /// Notes the weights of a configuration that replaces `old`.
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
        origins.known.contest(now, changed, now + window);
        drop(origins);
        self.origins_due.notify(usize::MAX);
    }

    /// The service and the release that began the stream which a caller takes up, if weights decided about it and this VM or
    /// another one was told; `None` if the weights in force tell the service.
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
            let ask = Origins::ask_told(keys.iter().map(|(_, key)| *key));
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
