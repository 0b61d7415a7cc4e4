//! Paired experiments: arms of one plan run in turns under the same load and faults.

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
    fault::{Act, Fault, LostRecords},
    round::run_round,
};
