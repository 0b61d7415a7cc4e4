//! Experiments on whole systems on loopback: paired policies, cost of the path, cost of control, soak.

mod control;
mod cost;
mod figures;
mod pair;
mod shape;
mod soak;

pub use {
    control::{ControlPlan, ControlPoint, ControlReport, fit_line, measure_control},
    cost::{CostPlan, CostReport, LoadCost, measure_cost},
    figures::{ArmFigures, ClassFigures, Observed, PairReport, fair_shares, plot, worst_share},
    pair::{Arm, Experiment, PairPlan, run_pair},
    shape::{Site, SiteKind},
    soak::{SoakPlan, SoakReport, run_soak},
};
