//! The scenario language.

pub(crate) mod ast;
mod lexis;
mod parse;
mod step;

pub use {
    ast::Scenario,
    parse::{ScenarioError, parse_scenario},
};
