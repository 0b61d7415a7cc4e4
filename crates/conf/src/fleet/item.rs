//! Configuration items.

use {
    super::ItemKey,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    types::{ClassId, KeyDigest, ModelId, OrgId, PerSecond, RouteId, Tier, Tokens, ZoneId},
};

/// Latency targets of a class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Time from arrival to the first token, or to the whole answer of a plain service, in
    /// milliseconds.
    pub first_ms: u32,
    /// Mean time between tokens, in milliseconds.
    pub between_ms: u32,
    /// Fraction of requests that must meet the targets, from 0 to 1.
    pub objective: f64,
}

impl Targets {
    /// Returns the target time from arrival to the first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_ms.into())
    }

    /// Returns the target mean time between tokens.
    pub fn inter_token(&self) -> Duration {
        Duration::from_millis(self.between_ms.into())
    }
}

/// A class of requests, with its priority and latency targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name that callers send.
    pub id: ClassId,
    /// Service tier.
    pub tier: Tier,
    /// Latency targets.
    pub targets: Targets,
    /// Largest number of requests queued at one scheduler.
    pub queue: u32,
    /// Starvation limit: the longest time without a dispatch while a request of the class waits, in
    /// milliseconds.
    pub starve_ms: u32,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Org {
    /// Identifier.
    pub id: OrgId,
    /// Weight in fair sharing among the organisations of a class.
    pub weight: u32,
}

/// An API key of callers. Only its digest is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiKey {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Organisation that the key belongs to.
    pub org: OrgId,
    /// Class of requests that do not name one.
    pub class: ClassId,
    /// Other classes that requests may name; empty for all.
    #[serde(default)]
    pub classes: Vec<ClassId>,
    /// Whether the key was withdrawn, which is final.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A model that engines serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers send.
    pub id: ModelId,
    /// Largest number of concurrent requests at one endpoint.
    pub slots: u32,
    /// Largest number of tokens generated for one request.
    pub longest: Tokens,
}

/// A route to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Identifier.
    pub id: RouteId,
    /// Path prefix of the route's requests; the longest match wins.
    pub prefix: CompactString,
    /// Service that handles the requests.
    pub service: ModelId,
    /// Whether requests need no API key.
    #[serde(default)]
    pub open: bool,
    /// Class of requests on an open route, and of requests whose API key allows it.
    pub class: ClassId,
    /// Whether requests other than GET and HEAD may be retried.
    #[serde(default)]
    pub idempotent: bool,
    /// Largest number of concurrent requests at one endpoint.
    pub slots: u32,
    /// Longest time until the answer, in milliseconds.
    pub timeout_ms: u32,
}

/// Limits of one organisation in one class; absent ones are unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<PerSecond>,
    /// Generated tokens per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<PerSecond>,
    /// Concurrent requests over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
}

/// An exception to the default limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitException {
    /// Name of the exception.
    pub id: CompactString,
    /// Organisation that the exception applies to; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<OrgId>,
    /// Class that the exception applies to; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassId>,
    /// Route that the exception applies to; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteId>,
    /// Limits that replace the defaults.
    pub limits: Limits,
    /// Why the exception exists; must not be empty.
    pub reason: CompactString,
}

/// Price class of an endpoint.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// At the full price, runs until it is released.
    #[default]
    Steady,
    /// At a lower price, may be evicted at a few seconds' notice.
    Cheap,
}

/// Bounds on the number of endpoints of one model or service in one availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolBounds {
    /// Model or service.
    pub serves: ModelId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Smallest number of endpoints.
    pub min: u32,
    /// Largest number of endpoints.
    pub max: u32,
    /// Largest fraction of endpoints that may be cheap, from 0 to 1.
    pub cheap: f64,
    /// Endpoints kept beyond the demand, as a reserve for the loss of another availability zone.
    pub spare: u32,
}

/// A configuration item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A class of requests.
    Class(Class),
    /// An organisation.
    Org(Org),
    /// An API key.
    Key(ApiKey),
    /// A model.
    Model(Model),
    /// A route.
    Route(Route),
    /// The default limits, for every organisation and class without an exception.
    Limits(Limits),
    /// An exception to the default limits.
    Exception(LimitException),
    /// Bounds on the number of endpoints.
    Pool(PoolBounds),
}

impl Item {
    /// Returns the key that identifies the item.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Class(c) => ItemKey::Class(c.id.clone()),
            Self::Org(o) => ItemKey::Org(o.id.clone()),
            Self::Key(k) => ItemKey::Key(k.digest),
            Self::Model(m) => ItemKey::Model(m.id.clone()),
            Self::Route(r) => ItemKey::Route(r.id.clone()),
            Self::Limits(_) => ItemKey::Limits,
            Self::Exception(e) => ItemKey::Exception(e.id.clone()),
            Self::Pool(p) => ItemKey::Pool(p.serves.clone(), p.zone.clone()),
        }
    }

    /// Checks all values. The error names the first one that is out of range, and the accepted
    /// values. It is stored with the outcome of the change and so is part of the digest of the
    /// configuration: nodes with different texts would not agree.
    pub fn validate(&self) -> Result<(), &'static str> {
        let error = match self {
            Self::Class(c) => c.validate(),
            Self::Org(o) => (o.weight == 0).then_some("weight: accepted is 1 or more"),
            Self::Model(m) => (m.slots == 0).then_some("slots: accepted is 1 or more"),
            Self::Route(r) => r.validate(),
            Self::Exception(e) => e
                .reason
                .trim()
                .is_empty()
                .then_some("reason: an exception needs a reason"),
            Self::Pool(p) => p.validate(),
            Self::Key(_) | Self::Limits(_) => None,
        };
        error.map_or(Ok(()), Err)
    }
}

impl Class {
    /// Returns the error for the first value that is out of range.
    fn validate(&self) -> Option<&'static str> {
        if !(0.0..1.0).contains(&self.targets.objective) {
            return Some("targets.objective: accepted is 0 up to but not including 1");
        }
        if self.targets.first_ms == 0 || self.queue == 0 || self.starve_ms == 0 {
            return Some("targets.first_ms, queue, starve_ms: accepted is 1 or more");
        }
        None
    }
}

impl Route {
    /// Returns the error for the first value that is out of range.
    fn validate(&self) -> Option<&'static str> {
        if !self.prefix.starts_with('/') {
            return Some("prefix: accepted is a path that starts with /");
        }
        if self.slots == 0 || self.timeout_ms == 0 {
            return Some("slots, timeout_ms: accepted is 1 or more");
        }
        None
    }
}

impl PoolBounds {
    /// Returns the error for the first value that is out of range.
    fn validate(&self) -> Option<&'static str> {
        if self.min > self.max {
            return Some("min: accepted is at most max");
        }
        (!(0.0..=1.0).contains(&self.cheap)).then_some("cheap: accepted is 0 to 1")
    }
}
