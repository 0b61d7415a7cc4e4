//! A version of the configuration, indexed for lookups.

use {
    super::{Route, Service},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    types::{Bytes, OrgId, ServiceId, Tier, Urgency, Version},
};

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head: Bytes,
    /// Largest request body.
    pub body: Bytes,
    /// Time within which a request head must arrive.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// The limits until a configuration is known; they equal those of the users' deployments.
    fn default() -> Self {
        Self {
            head: Bytes(16 * 1024),
            body: Bytes(4 * 1024 * 1024),
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Org {
    /// Identifier.
    pub id: OrgId,
    /// Priority tier of its requests; takes precedence over the tier of the route.
    pub tier: Option<Tier>,
    /// API keys.
    pub keys: Vec<CompactString>,
}

/// Number of route tiers that are told apart within one tier of organisations.
const ROUTE_LEVELS: u8 = 3;

/// Requests of one service that engines treat alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EngineClass {
    pub(crate) urgency: Urgency,
    pub(crate) tier: Tier,
    /// Target for the time to the first token.
    pub(crate) target: Duration,
}

/// A configuration as published by the platform and exchanged between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDoc {
    /// Version; it increases with each change, but not necessarily by one.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Organisations; `None` if requests need no key.
    pub orgs: Option<Vec<Org>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A configuration with its lookup tables for routes and keys.
#[derive(Debug)]
pub struct Config {
    /// The configuration.
    pub doc: ConfigDoc,
    /// Routes by lower-case host, longest prefix first.
    hosts: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Organisations by API key.
    keys: HashMap<CompactString, Arc<Org>>,
    /// Largest number of a tier, of routes and organisations.
    last_tier: Tier,
    /// Classes of requests by service.
    classes: BTreeMap<ServiceId, Vec<EngineClass>>,
}

impl Config {
    /// Indexes a configuration.
    pub fn new(doc: ConfigDoc) -> Self {
        let mut hosts: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in &doc.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let mut keys = HashMap::new();
        for org in doc.orgs.iter().flatten() {
            let shared = Arc::new(Org {
                keys: Vec::new(),
                ..org.clone()
            });
            for key in &org.keys {
                keys.insert(key.clone(), shared.clone());
            }
        }
        let route_tiers = doc.routes.iter().map(|r| r.tier);
        let org_tiers = doc.orgs.iter().flatten().filter_map(|o| o.tier);
        let last_tier = route_tiers.chain(org_tiers).max().unwrap_or(Tier(0));
        let mut config = Self {
            doc,
            hosts,
            keys,
            last_tier,
            classes: BTreeMap::new(),
        };
        config.classes = config.engine_classes();
        config
    }

    fn engine_classes(&self) -> BTreeMap<ServiceId, Vec<EngineClass>> {
        let orgs = self.doc.orgs.iter().flatten();
        let org_tiers: BTreeSet<Tier> = orgs.filter_map(|o| o.tier).collect();
        let mut classes: BTreeMap<ServiceId, Vec<EngineClass>> = BTreeMap::new();
        for route in &self.doc.routes {
            let tiers: BTreeSet<Tier> = org_tiers.iter().copied().chain([route.tier]).collect();
            for (service, _) in &route.split {
                let known = classes.entry(service.clone()).or_default();
                for tier in &tiers {
                    let class = EngineClass {
                        urgency: self.urgency(*tier, route),
                        tier: *tier,
                        target: route.target,
                    };
                    if !known.contains(&class) {
                        known.push(class);
                    }
                }
            }
        }
        classes
    }

    /// The classes of requests of a service that its engines serve before those of `urgency`.
    pub(crate) fn more_urgent(
        &self,
        service: &ServiceId,
        urgency: Urgency,
    ) -> impl Iterator<Item = &EngineClass> {
        let classes = self.classes.get(service).into_iter().flatten();
        classes.filter(move |c| c.urgency < urgency)
    }

    /// Urgency at an engine of a request of `tier` on a route. Most organisations often share one
    /// tier, which takes precedence over that of the route; among their requests, the route's tier
    /// decides as far as the engine's levels allow.
    pub fn urgency(&self, tier: Tier, route: &Route) -> Urgency {
        if self.last_tier.0 >= Urgency::LEVELS / ROUTE_LEVELS {
            return Urgency(tier.0).min(Urgency::LAST);
        }
        Urgency(tier.0 * ROUTE_LEVELS + route.tier.0.min(ROUTE_LEVELS - 1))
    }

    /// The route of a request: among those of the host, the one with the longest prefix of the
    /// path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// The organisation that owns an API key.
    pub fn org(&self, key: &str) -> Option<&Arc<Org>> {
        self.keys.get(key)
    }

    /// Whether requests need an API key; those on open routes never do.
    pub fn requires_keys(&self) -> bool {
        self.doc.orgs.is_some()
    }
}
