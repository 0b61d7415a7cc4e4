//! Services: their engines and scaling bounds.

use {
    route::ColdPolicy,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    types::{Tokens, ZoneId},
};

/// Properties of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Largest number of requests that run concurrently.
    pub slots: u32,
    /// KV cache capacity for running requests and cached prompt parts.
    pub memory: Tokens,
    /// Tokens per event of a stream.
    pub stride: u32,
}

/// Scaling bounds and prices of a service's endpoints. The bounds hold for each availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Smallest number of endpoints.
    pub min: u32,
    /// Largest number of endpoints.
    pub max: u32,
    /// Time from an order until the endpoint serves requests.
    pub boot: Duration,
    /// Price of a spot endpoint relative to a regular one; `None` if there are no spot endpoints.
    pub cheap_price: Option<f64>,
    /// Price of an endpoint, by availability zone.
    pub zone_prices: BTreeMap<ZoneId, f64>,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Largest number of connections that one endpoint accepts, over all VMs.
    pub connections: Option<u32>,
    /// Properties of the engines, if the service generates text.
    pub engine: Option<EngineSpec>,
    /// Scaling bounds, if the service is scaled automatically.
    pub scaling: Option<Scaling>,
    /// Rate limit of cold endpoints; `None` if there is none. Earlier releases reject a longer record, so VMs send it
    /// in a trailer of the configuration.
    #[serde(skip)]
    pub cold: Option<ColdPolicy>,
}
