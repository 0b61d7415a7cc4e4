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
    pub(crate) local_endpoints: BTreeMap<ModelId, Vec<Endpoint>>,
    /// Cheap endpoints that are leaving. Their streams are moved before the endpoints are cut off.
    pub(crate) evicted: BTreeSet<EndpointId>,
    /// Candidates for the home VM of each model, by availability zone, in order of preference.
    pub(crate) home_rankings: HomeRankings,
}

impl View {
    /// Builds the view of `store` for a VM in `zone`.
    pub(crate) fn from_store(store: &Store, zone: &ZoneId) -> Self {
        let mut local_endpoints: BTreeMap<ModelId, Vec<Endpoint>> = BTreeMap::new();
        let lists = store.zones().filter(|z| z.zone == *zone);
        let live = lists
            .flat_map(|z| &z.endpoints)
            .filter(|e| e.state == EndpointState::Live);
        for endpoint in live {
            local_endpoints
                .entry(endpoint.serves.clone())
                .or_default()
                .push(endpoint.clone());
        }
        let home_rankings = home_rankings(store);
        let evicted = evicted_endpoints(store);
        Self {
            config: store.config().clone(),
            local_endpoints,
            evicted,
            home_rankings,
        }
    }

    /// Most requests that an endpoint of `serves` runs at once.
    pub(crate) fn slots_per_endpoint(&self, serves: &ModelId) -> u32 {
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

fn evicted_endpoints(store: &Store) -> BTreeSet<EndpointId> {
    let endpoints = store.zones().flat_map(|z| &z.endpoints);
    let leaving = endpoints.filter(|e| e.cheap && e.state == EndpointState::Leaving);
    leaving.map(|e| e.id.clone()).collect()
}

/// Ranks the live VMs of each availability zone as homes of the models and services there.
fn home_rankings(store: &Store) -> HomeRankings {
    let mut rankings = HomeRankings::new();
    for list in store.zones() {
        let zone = &list.zone;
        let listed = store.vms().vms.iter();
        let live = listed.filter(|v| v.zone == *zone && v.state == VmState::Live);
        let vms: Vec<VmId> = live.map(|v| v.vm.clone()).collect();
        let served: BTreeSet<&ModelId> = list.endpoints.iter().map(|e| &e.serves).collect();
        for serves in served {
            let ranked = rank_vms(&format!("{zone}/{serves}"), vms.iter().cloned());
            rankings.insert((zone.clone(), serves.clone()), ranked);
        }
    }
    rankings
}
