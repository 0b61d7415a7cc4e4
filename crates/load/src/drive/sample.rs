//! Outcome and latencies of one request, as seen by its caller.

use {
    crate::plan::Flow,
    compact_str::CompactString,
    std::time::Duration,
    types::{RequestId, Verdict},
};

/// Outcome of a request, as seen by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete and correct response.
    Complete,
    /// The request was refused.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Verdict stated in the refusal: whether the request was executed.
        verdict: Option<Verdict>,
        /// Machine-readable error code.
        code: CompactString,
        /// Whether the response has a `Retry-After` header.
        retry_after: bool,
    },
    /// The response was cut short by an error event or a closed connection.
    Truncated,
    /// The response looks complete but is incorrect, for this reason.
    Incorrect(CompactString),
    /// No response was received.
    NoResponse,
}

/// One request, its outcome and latencies.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Index of the request's flow in the plan.
    pub flow: usize,
    /// Number that identifies the arrival.
    pub serial: u64,
    /// Request id returned with the response.
    pub id: Option<RequestId>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from the planned arrival to the first token, or to the complete response of a plain
    /// HTTP service.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, if there were at least two.
    pub inter_token: Option<Duration>,
    /// Time from the planned arrival to the end of the response, or to the failure.
    pub total: Duration,
    /// Number of tokens received.
    pub tokens: u64,
}

impl Sample {
    /// Whether the response was complete and met the latency targets of its flow.
    pub fn meets_targets(&self, flow: &Flow) -> bool {
        let first_met = self
            .first_token
            .is_some_and(|f| f <= Duration::from_millis(flow.first_ms));
        let interval_met = self
            .inter_token
            .is_none_or(|b| b <= Duration::from_millis(flow.between_ms));
        self.outcome == Outcome::Complete && first_met && interval_met
    }
}
