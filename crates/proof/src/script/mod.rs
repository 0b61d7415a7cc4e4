//! The scenario language.

pub(crate) mod ast;
mod lexis;
mod parse;
mod step;

pub use {
    ast::Script,
    parse::{ScriptError, parse_script},
};
