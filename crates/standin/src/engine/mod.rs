//! Stand-in of a model engine: continuous batching, priorities, a prefix cache, resume, load reports.

mod batch;
mod control;
mod handler;
mod prompt;
mod text;

pub use {
    control::{EngineCommand, ExecutedCompletion, Profile},
    handler::Engine,
    text::{token_text, whole_text},
};
