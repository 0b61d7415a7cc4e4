//! Commands that set a service's delay and faults, and the record of the requests that it executed.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    types::RequestId,
};

/// A command to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceCommand {
    /// Sets the time that each request takes, in milliseconds.
    Delay(u64),
    /// Sets the number of future requests that are executed but get no response.
    LoseAnswers(u32),
    /// Sets whether responses carry the id and content of another request.
    Cross(bool),
}

/// A request that the service executed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExecutedRequest {
    /// Id in the request, if there is one.
    pub id: Option<RequestId>,
    /// Method.
    pub method: CompactString,
    /// Path.
    pub path: CompactString,
    /// Body.
    pub body: CompactString,
    /// Names and values of the received headers.
    pub headers: Vec<(CompactString, CompactString)>,
}
