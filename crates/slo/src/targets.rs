//! Checks whether a request met the targets of its class.

use {
    conf::Targets,
    std::time::Duration,
    types::{Reason, Tokens},
};

/// Times of a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseTiming {
    /// Streamed token by token.
    Stream {
        /// Time from arrival to the first token.
        first: Duration,
        /// Time from the first token to the last.
        rest: Duration,
        /// Number of tokens.
        tokens: Tokens,
    },
    /// Sent in one piece.
    Whole {
        /// Time from arrival to the end.
        total: Duration,
        /// Number of tokens, 0 for a plain service.
        tokens: Tokens,
    },
}

/// Whether an answer met the targets. An answer sent in one piece is allowed the time to the first
/// token plus the time between all others.
pub fn meets_targets(targets: &Targets, timing: ResponseTiming) -> bool {
    let gaps = |tokens: Tokens| u32::try_from(tokens.0.saturating_sub(1)).unwrap_or(u32::MAX);
    match timing {
        ResponseTiming::Stream {
            first,
            rest,
            tokens,
        } => {
            first <= targets.first_token()
                && rest <= targets.inter_token().saturating_mul(gaps(tokens))
        }
        ResponseTiming::Whole { total, tokens } => {
            let rest = targets.inter_token().saturating_mul(gaps(tokens));
            total <= targets.first_token().saturating_add(rest)
        }
    }
}

/// Whether a refusal counts against the error budget. Refusals that the caller caused do not.
pub fn burns_budget(reason: Reason) -> bool {
    match reason {
        Reason::Overloaded
        | Reason::Unavailable
        | Reason::EndpointFailed
        | Reason::EndpointTimeout
        | Reason::Stopping => true,
        Reason::BadRequest
        | Reason::TooLarge
        | Reason::TooSlow
        | Reason::NoKey
        | Reason::KeyWithdrawn
        | Reason::Forbidden
        | Reason::NotFound
        | Reason::OverLimit
        | Reason::Conflict
        | Reason::Quarantined => false,
    }
}
