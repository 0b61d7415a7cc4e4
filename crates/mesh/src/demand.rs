//! Demand report: requests that wait or run at one entry.

use {
    serde::{Deserialize, Serialize},
    types::ModelId,
};

/// Path of the demand report; the request has an empty body.
pub const DEMAND_PATH: &str = "/mesh/demand";

/// Demand for one model or service at one entry. The total is the sum over all entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandLine {
    /// Model or service.
    pub serves: ModelId,
    /// Requests that wait for a slot at this entry.
    pub waiting: u32,
    /// Requests of this entry that endpoints are running.
    #[serde(rename = "held")]
    pub running: u32,
}

/// Demand report of one entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// One line for each model or service that the entry knows.
    pub lines: Vec<DemandLine>,
}
