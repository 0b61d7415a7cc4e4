//! Stand-in for a model engine: continuous batching, priorities, a prefix cache, resuming streams,
//! load reports.

mod batch;
mod completion;
mod control;
mod handler;
mod text;

pub use {
    control::{EngineCommand, EngineSettings, ExecutedCompletion},
    handler::Engine,
    text::{response_text, token_text},
};
