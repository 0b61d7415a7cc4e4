//! What became of one request, as its caller saw it.

use {
    crate::plan::Flow,
    compact_str::CompactString,
    std::time::Duration,
    types::{RequestId, Verdict},
};

/// What a caller saw.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole answer that is the request's own.
    Complete,
    /// A refusal.
    Refused {
        /// HTTP status.
        status: u16,
        /// The verdict that the refusal states.
        verdict: Option<Verdict>,
        /// Machine-readable reason.
        code: CompactString,
        /// Whether it says when to come back.
        retry: bool,
    },
    /// An answer that was cut with an error event or a closed connection.
    Truncated,
    /// An answer that looks whole and is wrong.
    Incorrect(CompactString),
    /// No answer.
    NoResponse,
}

/// One request and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Index of the request's flow.
    pub flow: usize,
    /// The arrival's number.
    pub serial: u64,
    /// The id that the system gave the request.
    pub id: Option<RequestId>,
    /// What the caller saw.
    pub outcome: Outcome,
    /// Time from planned arrival to the first token, or to the whole answer of a plain service.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub inter_token: Option<Duration>,
    /// Time from planned arrival to the end.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u64,
}

impl Sample {
    /// Whether the answer was whole and met its flow's targets.
    pub fn meets_targets(&self, flow: &Flow) -> bool {
        let first = self
            .first_token
            .is_some_and(|f| f <= Duration::from_millis(flow.first_ms));
        let between = self
            .inter_token
            .is_none_or(|b| b <= Duration::from_millis(flow.between_ms));
        self.outcome == Outcome::Complete && first && between
    }
}
