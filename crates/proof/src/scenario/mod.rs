//! The scenario language.

pub(crate) mod ast;
mod lexer;
mod parse;
mod step;

pub use {
    ast::Scenario,
    parse::{ScenarioError, parse_scenario},
};
