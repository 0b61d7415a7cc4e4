//! What an entry tells of the demand that it sees.

use {
    serde::{Deserialize, Serialize},
    types::ModelId,
};

/// Path of the demand message; it is asked for with an empty body.
pub const DEMAND_PATH: &str = "/mesh/demand";

/// Demand for one model or service at one entry. Lines of several entries add up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandLine {
    /// Model or service.
    pub serves: ModelId,
    /// Requests that wait here.
    pub waiting: u32,
    /// Requests at endpoints that this entry sent there.
    pub held: u32,
}

/// Demand at one entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandAnswer {
    /// One line for each model or service that the entry knows.
    pub lines: Vec<DemandLine>,
}
