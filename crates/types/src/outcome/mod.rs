//! Outcomes of requests: verdicts on execution, and refusals.

mod attempts;
mod refusal;
mod verdict;

pub use {
    attempts::Attempts,
    refusal::{Reason, Refusal},
    verdict::Verdict,
};
