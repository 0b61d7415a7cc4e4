//! The shared state as requests see it: one immutable view for each change.

use {
    crate::sched::Homes,
    conf::{Config, Item},
    mesh::{Store, rank_homes},
    platform::{Endpoint, EndpointState, VmState},
    std::{collections::BTreeMap, sync::Arc},
    types::{ModelId, VmId, ZoneId},
};

/// One version of the shared state.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// Endpoints of this availability zone that take work, by what they serve.
    pub(crate) local: BTreeMap<ModelId, Vec<Endpoint>>,
    /// VMs of this availability zone in the order in which they schedule what is served here.
    pub(crate) homes: Homes,
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
        let homes = homes(store, zone, local.keys());
        Self {
            config: store.config().clone(),
            local,
            homes,
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

/// Ranks the live VMs of `zone` for each of `serves`.
fn homes<'a>(store: &Store, zone: &ZoneId, serves: impl Iterator<Item = &'a ModelId>) -> Homes {
    let all = store.vms().vms.iter();
    let live = all.filter(|v| v.zone == *zone && v.state == VmState::Live);
    let vms: Vec<VmId> = live.map(|v| v.vm.clone()).collect();
    let rank = |s: &ModelId| rank_homes(&format!("{zone}/{s}"), vms.iter().cloned());
    serves.map(|s| (s.clone(), rank(s))).collect()
}
