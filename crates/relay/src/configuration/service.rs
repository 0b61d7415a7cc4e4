//! Services and their bounds.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    types::{Tokens, ZoneId},
};

/// What is published of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for running requests and cached parts.
    pub memory: Tokens,
    /// Tokens in one event.
    pub stride: u32,
}

/// Bounds of the number of endpoints, in each availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Fewest endpoints.
    pub min: u32,
    /// Most endpoints.
    pub max: u32,
    /// Time from an order to service.
    pub boot: Duration,
    /// Price of a cheap endpoint, in prices of a steady one; none where there are no cheap ones.
    pub cheap_price: Option<f64>,
    /// Price of an endpoint by availability zone.
    pub zone_prices: BTreeMap<ZoneId, f64>,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one endpoint accepts from all VMs together.
    pub connections: Option<u32>,
    /// The engines behind the service, if it generates.
    pub engine: Option<EngineSpec>,
    /// Bounds of its size, if it may be sized.
    pub scaling: Option<Scaling>,
}
