//! What became of a request: the verdict of its attempts and the refusal a caller is told.

mod attempt;
mod refusal;
mod verdict;

pub use {
    attempt::Attempt,
    refusal::{Reason, Refusal},
    verdict::Verdict,
};
