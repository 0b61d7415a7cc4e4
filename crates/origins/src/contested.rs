//! Services to which streams of a route may have been sent by an earlier version of its weights.

use {
    super::{Known, OriginAsk, OriginNews, Origins, StreamKey},
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::ServiceId,
};

/// Names no service, so that queries for it are answered from tables of origins only.
const NO_SERVICE: &str = "/";

/// The services whose origins are replicated to all VMs, by expiry time.
#[derive(Debug, Default)]
pub(crate) struct Contested(BTreeMap<ServiceId, Instant>);

impl Contested {
    pub(crate) fn contains(&self, now: Instant, service: &ServiceId) -> bool {
        self.0.get(service).is_some_and(|until| now < *until)
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, until| now < *until);
    }
}

impl Origins {
    /// Notes that the weights of a route between these services have changed. Until `until`, the weights don't determine
    /// which of them began a stream: the origins of their streams are told, though each may have one release only.
    pub fn contest(
        &mut self,
        now: Instant,
        services: impl IntoIterator<Item = ServiceId>,
        until: Instant,
    ) {
        for service in services {
            let end = self.contested.0.entry(service).or_insert(until);
            *end = (*end).max(until);
        }
        self.update_only(now);
    }

    /// The time for which streams of a service may be resumed.
    pub fn window(&self, now: Instant, service: &ServiceId) -> Duration {
        self.history.window(now, service)
    }

    /// Looks a stream up in the table of origins, without inference.
    pub fn find(&self, now: Instant, key: &StreamKey) -> Option<Known> {
        self.table.find(now, key)
    }

    /// A query that VMs answer only from their tables of origins, not by inference.
    pub fn ask_told(keys: impl IntoIterator<Item = StreamKey>) -> OriginNews {
        let service: Option<ServiceId> = NO_SERVICE.parse().ok();
        let asks = keys.into_iter().zip(service.into_iter().cycle());
        OriginNews {
            asks: asks
                .map(|(key, service)| OriginAsk { key, service })
                .collect(),
            relay: true,
            ..OriginNews::default()
        }
    }
}
