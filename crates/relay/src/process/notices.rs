//! What endpoints say of themselves, to this VM or to others.

use {
    super::Node,
    crate::{
        adapter::ResponseHeaders,
        endpoints::{EndpointChange, Registry, RegistryChange},
        request::EndpointTarget,
    },
    route::LimitNotice,
    types::{AttemptId, EndpointId, PerSecond},
};

impl Node {
    /// Closes an endpoint whose response, to this VM or to another, said that it leaves. Returns
    /// whether it was open.
    pub(crate) fn mark_leaving(&self, id: &EndpointId, born: u64) -> bool {
        let mut registry = self.registry.lock();
        let change = registry.mark_leaving(self.clock.now(), id, born);
        if change != RegistryChange::Leaving {
            return false;
        }
        if let Some(endpoint) = registry.get(id).cloned() {
            let mut placers = self.placers.lock();
            if let Some(placer) = placers.get_mut(&endpoint.service) {
                placer.remove_endpoint(id);
            }
            drop(placers);
            self.record_change(EndpointChange::Listed(endpoint));
        }
        true
    }

    /// Applies what a response of an endpoint says of the endpoint itself.
    pub(crate) fn note_response(
        &self,
        target: &EndpointTarget,
        attempt: &AttemptId,
        (status, said): (u16, &ResponseHeaders),
    ) {
        // The response of another instance at the same address says nothing of this one.
        if said.misdirected {
            return;
        }
        let id = &target.id;
        let notice = said.notice;
        let now = self.clock.now();
        // The response of an earlier request may say nothing of this service.
        if said.id.as_ref() == Some(attempt) {
            self.note_brittle(target, attempt, notice.brittle);
        }
        if notice.leaving && self.mark_leaving(id, target.born) {
            log::info!(endpoint:% = id, request:% = attempt, status = status; "endpoint says that it leaves");
        }
        if let Some(time) = notice.cold_for {
            let mut registry = self.registry.lock();
            if registry.set_cold(now, id, target.born, now + time) {
                self.restrict(&registry, id);
                log::info!(
                    endpoint:% = id, request:% = attempt, status = status, cold_ms = time.as_millis() as u64;
                    "endpoint says that it is cold"
                );
            }
        }
        if let Some(time) = notice.busy_for {
            let mut registry = self.registry.lock();
            registry.close(now, id, target.born, now + time);
            self.restrict(&registry, id);
            log::info!(
                endpoint:% = id, request:% = attempt, status = status,
                busy_ms = time.as_millis() as u64;
                "endpoint refuses requests for a time"
            );
        }
        let mut registry = self.registry.lock();
        if registry.set_limit(now, (id, target.born), notice.limit) {
            self.restrict(&registry, id);
            log::info!(
                endpoint:% = id, request:% = attempt, status = status,
                limit = notice.limit.map_or(-1.0, PerSecond::get);
                "endpoint changed its limit"
            );
        }
    }

    /// Applies what a response says of how the endpoints of its service bear refusals.
    fn note_brittle(&self, target: &EndpointTarget, attempt: &AttemptId, borne: Option<u32>) {
        let now = self.clock.now();
        let mut placers = self.placers.lock();
        let Some(placer) = placers.get_mut(&target.service) else {
            return;
        };
        if placer.record_brittle(now, borne) {
            log::info!(
                service:% = target.service, endpoint:% = target.id, request:% = attempt,
                brittle = placer.is_brittle(now), borne = borne.unwrap_or_default();
                "endpoints changed how they bear refusals"
            );
        }
    }

    /// Whether the endpoints of any service are brittle.
    pub(super) fn has_brittle_endpoints(&self) -> bool {
        let now = self.clock.now();
        let placers = self.placers.lock();
        placers.values().any(|p| p.is_brittle(now))
    }

    /// Whether the rate of cold endpoints of any service is limited.
    pub(super) fn limits_cold(&self) -> bool {
        let placers = self.placers.lock();
        placers.values().any(|p| p.limits_cold())
    }

    /// Applies the limit that an endpoint named in a response to another VM. Returns whether the
    /// known limit changed.
    pub(crate) fn learn_limit(&self, notice: &LimitNotice) -> bool {
        let mut registry = self.registry.lock();
        let changed = registry.learn_limit(self.clock.now(), notice);
        if changed {
            self.restrict(&registry, &notice.id);
        }
        changed
    }

    /// Applies what an endpoint has said of itself to its placer.
    pub(super) fn restrict(&self, registry: &Registry, id: &EndpointId) {
        let Some(endpoint) = registry.get(id) else {
            return;
        };
        let mut placers = self.placers.lock();
        if let Some(placer) = placers.get_mut(&endpoint.service) {
            placer.restrict(self.clock.now(), id, registry.restriction(id));
        }
    }
}
