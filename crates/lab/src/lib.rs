//! Experiments on whole clusters on loopback: paired comparisons of settings, proxy overhead,
//! control-plane overhead and soak tests.

mod control;
mod cost;
mod pair;
mod results;
mod sites;
mod soak;

pub use {
    control::{ControlPlan, ControlPoint, ControlReport, fit_line, measure_control},
    cost::{CostPlan, CostReport, LoadCost, measure_cost},
    pair::{Arm, Experiment, PairPlan, run_pair},
    results::{
        ArmResults, ClassResults, PairReport, RoundObservations, fair_shares, min_fair_ratio,
        plot_attainment,
    },
    sites::{Site, SiteKind},
    soak::{SoakPlan, SoakReport, run_soak},
};
