//! What an experiment tells.

mod arm;
mod fair;
mod observed;
mod plot;
mod table;

pub use {
    arm::{ArmFigures, ClassFigures, PairReport},
    fair::{fair_shares, worst_share},
    observed::Observed,
    plot::plot,
};
