//! Stand-in of a model engine: continuous batching, priorities, a prefix cache, resume, load
//! reports.

mod batch;
mod control;
mod handler;
mod prompt;
mod text;

pub use {
    control::{EngineCommand, EngineSettings, ExecutedCompletion},
    handler::Engine,
    text::{response_text, token_text},
};
