//! Changes of the endpoint list, applied to the registry and the placers.

use {
    super::{Node, placement::endpoint_spec},
    crate::endpoints::{Endpoint, EndpointChange, Registry, RegistryChange},
    types::{EndpointId, ServiceId},
};

impl Node {
    /// Adds or updates an endpoint.
    pub(crate) fn upsert_endpoint(&self, endpoint: Endpoint) {
        let now = self.clock.now();
        let mut registry = self.registry.lock();
        let change = registry.upsert(now, endpoint.clone());
        match change {
            RegistryChange::None => {}
            RegistryChange::Outdated => self.log_outdated(&registry, &endpoint),
            RegistryChange::Added
            | RegistryChange::Changed
            | RegistryChange::Leaving
            | RegistryChange::Removed
            | RegistryChange::Lapsed => self.apply_listed(&registry, &endpoint.id, &change),
        }
    }

    /// Records a change of a listed endpoint and applies it to its placer. Called with the registry
    /// locked.
    fn apply_listed(&self, registry: &Registry, id: &EndpointId, change: &RegistryChange) {
        let now = self.clock.now();
        // A departure that is known from elsewhere overrides an older list.
        let Some(endpoint) = registry.get(id).cloned() else {
            return;
        };
        log::info!(
            endpoint:% = endpoint.id, service:% = endpoint.service, zone:% = endpoint.zone,
            addr:% = endpoint.addr, born = endpoint.born, sequence = endpoint.sequence,
            release = endpoint.release.as_ref().map_or("", |r| r.as_str()), leaving = endpoint.leaving, cheap = endpoint.cheap, cold_ms = endpoint.cold.as_millis() as u64, change:? = change;
            "endpoint listed"
        );
        self.record_change(EndpointChange::Listed(endpoint.clone()));
        let mut placers = self.placers.lock();
        if let Some(placer) = placers.get_mut(&endpoint.service) {
            if endpoint.leaving {
                placer.remove_endpoint(&endpoint.id);
            } else {
                placer.upsert_endpoint(now, endpoint_spec(&endpoint));
                placer.restrict(now, &endpoint.id, registry.restriction(&endpoint.id));
            }
        }
    }

    fn log_outdated(&self, registry: &Registry, entry: &Endpoint) {
        let listed = registry.get(&entry.id);
        let removal = registry.last_removal(self.clock.now(), &entry.id);
        let (born, sequence, removed) = removal.unwrap_or_default();
        log::info!(
            endpoint:% = entry.id, born = entry.born, sequence = entry.sequence,
            listed_born = listed.map(|e| e.born), listed_sequence = listed.and_then(|e| e.sequence),
            removed_born = born, removed_sequence = sequence, removed_ms = removed.as_millis() as u64;
            "entry held back: older than what is known of its endpoint"
        );
    }

    /// Removes an endpoint whose removal was read, unless it may have lapsed in an outage.
    pub(crate) fn remove_endpoint(&self, id: &EndpointId) {
        let mut registry = self.registry.lock();
        let change = registry.remove(self.clock.now(), id);
        log::info!(endpoint:% = id, change:? = change; "endpoint removed from the list");
        if change == RegistryChange::Removed {
            self.remove_from_placers(std::slice::from_ref(id));
        }
    }

    /// Removes an endpoint that is absent from a complete list, unless it may have lapsed in an
    /// outage.
    pub(crate) fn remove_absent_endpoint(&self, id: &EndpointId) {
        let mut registry = self.registry.lock();
        let change = registry.remove_absent(self.clock.now(), id);
        log::info!(endpoint:% = id, change:? = change; "endpoint is absent from the list");
        if change == RegistryChange::Removed {
            self.remove_from_placers(std::slice::from_ref(id));
        }
    }

    /// Removes an endpoint that the zone's reader has removed.
    pub(crate) fn remove_endpoint_now(&self, id: &EndpointId) {
        let mut registry = self.registry.lock();
        let change = registry.remove_now(self.clock.now(), id);
        log::info!(endpoint:% = id, change:? = change; "endpoint removed by the zone's reader");
        if change == RegistryChange::Removed {
            self.remove_from_placers(std::slice::from_ref(id));
        }
    }

    /// The other endpoints of a service in the availability zone of an endpoint; none if there are no endpoints in
    /// other zones that take requests.
    pub(crate) fn others_in_zone(&self, service: &ServiceId, id: &EndpointId) -> Vec<EndpointId> {
        let registry = self.registry.lock();
        let Some(zone) = registry.get(id).map(|e| e.zone.clone()) else {
            return Vec::new();
        };
        let evacuated = self.evacuated_zones();
        let open = || {
            let listed = registry.endpoints().filter(|e| e.service == *service);
            listed.filter(|e| !e.leaving && !evacuated.contains(&e.zone))
        };
        if open().all(|e| e.zone == zone) {
            return Vec::new();
        }
        let others = open().filter(|e| e.zone == zone && e.id != *id);
        others.map(|e| e.id.clone()).collect()
    }

    /// Known endpoints that are absent from `listed`, a complete list.
    pub(crate) fn absent_endpoints(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        self.registry.lock().absent_from(listed)
    }

    /// Removes lapsed endpoints whose grace period has ended.
    pub(crate) fn drop_expired(&self) {
        let now = self.clock.now();
        let mut registry = self.registry.lock();
        let expired = registry.expire(now);
        for id in &expired {
            log::info!(endpoint:% = id; "lapsed endpoint removed");
        }
        self.remove_from_placers(&expired);
        for (id, change) in registry.list_confirmed(now) {
            log::info!(endpoint:% = id; "outdated entry is still listed, and believed");
            self.apply_listed(&registry, &id, &change);
        }
        for id in registry.expire_notices(now) {
            log::info!(endpoint:% = id; "limit of an endpoint expired");
            self.restrict(&registry, &id);
        }
    }

    pub(super) fn record_change(&self, change: EndpointChange) {
        self.history.lock().add(change);
        self.changed.notify(usize::MAX);
    }

    /// Records the removal of endpoints and removes them from the placers. Called with the registry
    /// locked.
    fn remove_from_placers(&self, ids: &[EndpointId]) {
        if ids.is_empty() {
            return;
        }
        ids.iter()
            .for_each(|id| self.record_change(EndpointChange::Gone(id.clone())));
        let mut placers = self.placers.lock();
        for placer in placers.values_mut() {
            ids.iter().for_each(|id| placer.remove_endpoint(id));
        }
    }
}
