//! Paired experiments: compares settings (arms) by running them in turns under equal load and
//! faults.

mod arm;
mod experiment;
mod fault;
mod round;
mod run;

pub use {
    arm::Arm,
    experiment::Experiment,
    run::{PairPlan, run_pair},
};
pub(crate) use {
    fault::{Fault, FaultAction, KilledEngineRecords},
    round::run_round,
};
