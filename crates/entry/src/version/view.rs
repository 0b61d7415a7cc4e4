//! The shared state as requests see it: one immutable view for each change.

use {
    conf::{Config, Item},
    mesh::Store,
    platform::{Endpoint, EndpointState},
    std::{collections::BTreeMap, sync::Arc},
    types::{ModelId, ZoneId},
};

/// One version of the shared state.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// Endpoints of this availability zone that take work, by what they serve.
    pub(crate) local: BTreeMap<ModelId, Vec<Endpoint>>,
}

impl View {
    /// Takes a view of the store for a VM in `zone`.
    pub(crate) fn of(store: &Store, zone: &ZoneId) -> Self {
        let mut local: BTreeMap<ModelId, Vec<Endpoint>> = BTreeMap::new();
        let lists = store.zones().filter(|z| z.zone == *zone);
        let live = lists
            .flat_map(|z| &z.endpoints)
            .filter(|e| e.state == EndpointState::Live);
        for endpoint in live {
            local
                .entry(endpoint.serves.clone())
                .or_default()
                .push(endpoint.clone());
        }
        Self {
            config: store.config().clone(),
            local,
        }
    }

    /// Most requests that one endpoint of `serves` holds at once.
    pub(crate) fn slots(&self, serves: &ModelId) -> u32 {
        let by_model = self.config.model(serves).map(|m| m.slots);
        let by_route = || {
            self.config.items().find_map(|(_, e)| match &e.item {
                Item::Route(route) if route.service == *serves => Some(route.slots),
                _ => None,
            })
        };
        by_model.or_else(by_route).unwrap_or(1)
    }
}
