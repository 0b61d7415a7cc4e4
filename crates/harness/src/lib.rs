//! Test side: starts the system's programs and the stand-ins as processes, and drives them.
//!
//! The system's own processes start no other; this launcher is for the demo, scenarios and tests.

mod cluster;
mod demo;
mod process;

pub use {
    cluster::{Cluster, ClusterSpec, ClusterVm, ClusterZone, MESH_SECRET},
    demo::{demo_config, run_demo},
    process::{ChildProcess, HttpClient, wait_until},
};
