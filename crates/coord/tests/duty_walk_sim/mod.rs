//! Simulation of VMs that contend for the duty lease, of the log that they share, and of the
//! platform that receives the holder's calls.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod call_path;
mod current_lease;
mod earlier_lease;
mod fault_mix;
mod lease_view;
mod log;
mod platform;
mod simulation;
mod vm;
mod wire;

pub(crate) use {
    fault_mix::{Fleet, MixedFaults},
    platform::{Process, Violation},
    simulation::{Simulation, Stats},
};
