//! An immutable view of the shared state for requests. Each change of the store makes a new one.

use {
    crate::sched::HomeRankings,
    conf::{Config, Item},
    mesh::{Store, rank_vms},
    ports::{Endpoint, EndpointState, VmState},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    types::{EndpointId, ModelId, VmId, ZoneId},
};

/// One version of the shared state.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// Live endpoints of this availability zone, by the model or service that they serve.
    pub(crate) local: BTreeMap<ModelId, Vec<Endpoint>>,
    /// Cheap endpoints that are leaving. Their streams are moved before the endpoints are cut off.
    pub(crate) evicted: BTreeSet<EndpointId>,
    /// Candidates for the home VM of each model, by availability zone, in order of preference.
    pub(crate) homes: HomeRankings,
}

impl View {
    /// Builds the view of `store` for a VM in `zone`.
    pub(crate) fn from_store(store: &Store, zone: &ZoneId) -> Self {
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
        let homes = homes(store);
        let evicted = evicted(store);
        Self {
            config: store.config().clone(),
            local,
            evicted,
            homes,
        }
    }

    /// Most requests that an endpoint of `serves` runs at once.
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

fn evicted(store: &Store) -> BTreeSet<EndpointId> {
    let all = store.zones().flat_map(|z| &z.endpoints);
    let leaving = all.filter(|e| e.cheap && e.state == EndpointState::Leaving);
    leaving.map(|e| e.id.clone()).collect()
}

/// Ranks the live VMs of each availability zone as homes of the models and services there.
fn homes(store: &Store) -> HomeRankings {
    let mut homes = HomeRankings::new();
    for list in store.zones() {
        let zone = &list.zone;
        let all = store.vms().vms.iter();
        let live = all.filter(|v| v.zone == *zone && v.state == VmState::Live);
        let vms: Vec<VmId> = live.map(|v| v.vm.clone()).collect();
        let served: BTreeSet<&ModelId> = list.endpoints.iter().map(|e| &e.serves).collect();
        for serves in served {
            let ranked = rank_vms(&format!("{zone}/{serves}"), vms.iter().cloned());
            homes.insert((zone.clone(), serves.clone()), ranked);
        }
    }
    homes
}
