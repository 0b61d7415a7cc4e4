//! Looks up the service of a resumed stream on routes that distribute streams over several services.
//!
//! New streams are distributed by weight and a hash of their attempt, so the weights determine the service until they change.
//! After a change they still do for streams that the earlier weights send to the same service. Of the others, those that start at
//! another service than before the change are logged. One that no VM knows and that isn't logged started as before the change.

use {
    super::{
        Node,
        stream_origins::key_at,
        weight_changes::{Reroute, has_choice, services},
    },
    crate::{
        configuration::{Config, RouteKind},
        request::{RoutedRequest, draw_of},
    },
    clock::{Instant, timeout},
    origins::{Known, Origin, Origins, StreamKey},
    siphasher::sip::SipHasher13,
    std::{collections::BTreeMap, hash::Hasher, time::Duration},
    types::{Refusal, ServiceId},
};

/// Timeout of a query to other VMs, and number of queries.
const ASK_TIME: Duration = Duration::from_millis(125);
const ASKS: u32 = 3;
/// Time in which the log of origins is read.
const LOG_READ_TIME: Duration = Duration::from_millis(300);
/// `Retry-After` of a stream that no VM knows: its origin may still be in transit.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The service that serves a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamService {
    /// The one that the weights select.
    Selected,
    /// Another one.
    Other(ServiceId),
    /// The one that started it, with the release if that is known.
    Known(Origin),
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
        let era = origins.known.assignments().map(|snapshot| snapshot.at.era);
        origins.weights.set_era(era);
        if changed.is_empty() {
            return;
        }
        let windows = changed.iter().map(|s| origins.known.window(now, s));
        let window = windows.max().unwrap_or_default();
        origins.known.mark_reweighted(now, changed, now + window);
        drop(origins);
        self.origins_due.notify(usize::MAX);
    }

    /// Whether earlier weights select another service for a new stream.
    pub(super) fn reroute(&self, request: &RoutedRequest) -> Reroute {
        let now = self.clock.now();
        let origins = self.origins.lock();
        let window = origins.known.window(now, &request.service);
        let draw = draw_of(request.caller.first_attempt());
        let route = (&*request.route, draw);
        origins
            .weights
            .reroute(now, route, &request.service, window)
    }

    /// The service for a new stream of a route whose weights have changed, while the log of origins cannot be written: that of
    /// streams that aren't logged.
    fn unlogged_service(&self, request: &RoutedRequest) -> Option<ServiceId> {
        let now = self.clock.now();
        let origins = self.origins.lock();
        if !origins.known.logs_origins() || origins.known.is_log_available(now) {
            return None;
        }
        let window = origins.known.window(now, &request.service);
        let draw = draw_of(request.caller.first_attempt());
        let route = (&*request.route, draw);
        let service = origins.weights.unlogged_service(now, route, window)?;
        let is_allowed = services(&request.route).any(|s| s == service);
        is_allowed.then(|| service.clone())
    }

    /// The service of a stream, on routes that distribute streams over several services.
    pub(crate) async fn find_service(
        &self,
        request: &RoutedRequest,
    ) -> Result<StreamService, Refusal> {
        if !has_choice(&request.route) {
            return Ok(StreamService::Selected);
        }
        let is_new = request.caller.last_event.is_none();
        if is_new && request.route.kind == RouteKind::Resumable {
            let service = self.unlogged_service(request);
            return Ok(service.map_or(StreamService::Selected, StreamService::Other));
        }
        if is_new || request.caller.resumes.is_none() {
            return Ok(StreamService::Selected);
        }
        let asked = self.clock.now();
        let others = services(&request.route).filter(|s| **s != request.service);
        let candidates = [&request.service].into_iter().chain(others);
        let keys: Vec<_> = candidates
            .map(|service| (service, key_at(request, service)))
            .collect();
        let window = self.origins.lock().known.window(asked, &request.service);
        let draw = draw_of(request.caller.first_attempt());
        let (changed, is_certain) = {
            let weights = &self.origins.lock().weights;
            let changed = weights.changed_within(asked, &request.route.id, window);
            let possible = weights.possible_services(asked, (&request.route, draw), window);
            (changed, changed.is_some() && possible.len() == 1)
        };
        let mut found = self.told_origin(&keys);
        if found.is_none() && !is_certain {
            self.request_log(asked);
            found = self.ask_for_service(&keys).await;
        }
        let service = match found {
            Some(origin) => Some(StreamService::Known(origin)),
            None if is_certain => Some(StreamService::Selected),
            None => self.read_service(request, &keys, (asked, draw)).await,
        };
        let is_changed = changed == Some(true);
        let service = service.or_else(|| (!is_changed).then_some(StreamService::Selected));
        let name = match &service {
            Some(StreamService::Known(origin)) => origin.service.as_str(),
            Some(StreamService::Other(service)) => service.as_str(),
            Some(StreamService::Selected) | None => "",
        };
        log::info!(
            request:% = request.caller.id, drawn:% = request.service, service = name, weights_changed:? = changed, certain = is_certain,
            took_ms = self.clock.now().since(asked).as_millis() as u64;
            "service of a stream looked up"
        );
        service.ok_or_else(|| request.unknown_origin().with_retry_after(RETRY_AFTER))
    }

    /// Has the log of origins read.
    fn request_log(&self, now: Instant) {
        self.origins.lock().log_wanted = Some(now);
        self.records_asked.notify(usize::MAX);
    }

    /// The service of a stream that no VM knows, according to the log of origins; `None` if that isn't certain.
    async fn read_service(
        &self,
        request: &RoutedRequest,
        keys: &[(&ServiceId, StreamKey)],
        (asked, draw): (Instant, f64),
    ) -> Option<StreamService> {
        let is_read = async {
            loop {
                let learned = self.origins_learned.listen();
                let read = self.origins.lock().log_read.as_ref().map(|read| read.begun);
                if read >= Some(asked) {
                    return;
                }
                learned.await;
            }
        };
        timeout(&*self.clock, LOG_READ_TIME, is_read).await.ok()?;
        let now = self.clock.now();
        let origins = self.origins.lock();
        let read = origins.log_read.as_ref()?;
        if let Some(origin) = keys.iter().find_map(|(_, key)| read.logged.origin(key)) {
            return Some(StreamService::Known(origin));
        }
        let is_current = origins.known.logs_origins() && Some(read.era) == origins.weights.era;
        let window = origins.known.window(now, &request.service);
        let route = (&*request.route, draw);
        let service = origins.weights.unlogged_service(now, route, window)?;
        let is_allowed = services(&request.route).any(|s| s == service);
        (is_current && is_allowed).then(|| StreamService::Other(service.clone()))
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
