//! A service's faults, and the record of what it executed.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    types::RequestId,
};

/// A control call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceCommand {
    /// Time that a request takes, in milliseconds.
    Delay(u64),
    /// Number of coming requests that are executed but never answered.
    LoseAnswers(u32),
    /// Answers with another request's id and content.
    Cross(bool),
}

/// A request as the service executed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExecutedRequest {
    /// The request's id, as sent.
    pub id: Option<RequestId>,
    /// Method.
    pub method: CompactString,
    /// Path.
    pub path: CompactString,
    /// Body.
    pub body: CompactString,
    /// Header names and values as received.
    pub headers: Vec<(CompactString, CompactString)>,
}
