//! What became of a request: the verdict of its attempts and the refusal a caller is told.

mod attempts;
mod refusal;
mod verdict;

pub use {
    attempts::Attempts,
    refusal::{Reason, Refusal},
    verdict::Verdict,
};
