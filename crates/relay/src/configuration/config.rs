//! One version of the configuration, prepared for lookups.

use {
    super::{Route, Service},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
    types::{Bytes, OrgId, ServiceId, Tier, Version},
};

/// Bounds of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head.
    pub head: Bytes,
    /// Largest body.
    pub body: Bytes,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// Time that a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known; those of the users' deployments.
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
    /// Name.
    pub id: OrgId,
    /// Tier of its requests, before that of the route.
    pub tier: Option<Tier>,
    /// Keys.
    pub keys: Vec<CompactString>,
}

/// A configuration as published and as passed between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDoc {
    /// Version; versions grow in uneven steps.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Organisations; none where no keys are asked for.
    pub orgs: Option<Vec<Org>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A configuration with its lookup tables.
#[derive(Debug)]
pub struct Config {
    /// The configuration.
    pub doc: ConfigDoc,
    /// Routes by host, longest prefix first.
    hosts: HashMap<CompactString, Vec<Arc<Route>>>,
    keys: HashMap<CompactString, Arc<Org>>,
}

impl Config {
    /// Prepares a configuration.
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
        Self { doc, hosts, keys }
    }

    /// The route of a request: the longest prefix of the host's that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// The organisation of a key.
    pub fn org(&self, key: &str) -> Option<&Arc<Org>> {
        self.keys.get(key)
    }

    /// Whether requests need a key at all.
    pub fn requires_keys(&self) -> bool {
        self.doc.orgs.is_some()
    }
}
