//! Services whose routing weights changed recently, so that the current weights don't determine where a stream started.

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
pub(crate) struct Reweighted(BTreeMap<ServiceId, Instant>);

impl Reweighted {
    pub(crate) fn contains(&self, now: Instant, service: &ServiceId) -> bool {
        self.0.get(service).is_some_and(|until| now < *until)
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, until| now < *until);
    }
}

impl Origins {
    /// Marks services between which routing weights have changed. Until `until`, the origins of their streams are replicated to
    /// the other VMs even if each service has a single release, and this VM infers none for queries of others.
    pub fn mark_reweighted(
        &mut self,
        now: Instant,
        services: impl IntoIterator<Item = ServiceId>,
        until: Instant,
    ) {
        for service in services {
            let end = self.reweighted.0.entry(service).or_insert(until);
            *end = (*end).max(until);
        }
        self.update_only(now);
    }

    /// The resume window of a service.
    pub fn window(&self, now: Instant, service: &ServiceId) -> Duration {
        self.history.window(now, service)
    }

    /// Looks a stream up in the table of origins, without inference.
    pub fn find(&self, now: Instant, key: &StreamKey) -> Option<Known> {
        self.table.find(now, key)
    }

    /// A query that VMs answer only from their tables of origins, not by inference.
    pub fn table_query(keys: impl IntoIterator<Item = StreamKey>) -> OriginNews {
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
