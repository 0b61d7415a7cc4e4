//! Results of an experiment: aggregation, tables and plots.

mod arm_results;
mod fairness;
mod plot;
mod round_observations;
mod table;

pub use {
    arm_results::{ArmResults, ClassResults, PairReport},
    fairness::{fair_shares, min_fair_ratio},
    plot::plot_attainment,
    round_observations::RoundObservations,
};
