//! Services to which streams of a route may have been sent by an earlier version of its weights.

use {
    super::{Known, OriginAsk, OriginNews, Origins, StreamKey},
    clock::Instant,
    std::{collections::BTreeMap, time::Duration},
    types::ServiceId,
};

/// Names no service: a question for it is answered only by VMs that were told of the stream.
const NO_SERVICE: &str = "/";

/// The services whose streams are told to all VMs, and until when.
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
    /// Notes that the weights of a route between these services have changed. Until `until`, nobody can infer from the weights
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

    /// What this VM began or was told of a stream.
    pub fn find(&self, now: Instant, key: &StreamKey) -> Option<Known> {
        self.table.find(now, key)
    }

    /// The question for streams that only VMs answer which began them or were told of them.
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
