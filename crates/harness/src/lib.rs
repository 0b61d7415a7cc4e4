//! Test side: starts the system's programs and the stand-ins as processes, and drives them.
//!
//! The system's own processes start no other; this launcher is for the demo, scenarios and tests.

mod cluster;
mod demo;
mod process;

pub use {
    cluster::{Cluster, MESH_SECRET, Shape, Vm, ZoneShape},
    demo::{demo_config, run_demo},
    process::{Http, Proc, wait_until},
};
