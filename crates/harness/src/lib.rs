//! Test harness: starts the system's programs and the stand-ins as processes, and controls them.
//!
//! Only the demo, scenarios and tests use it. The system's own processes start no others.

mod cluster;
mod demo;
mod process;

pub use {
    cluster::{Cluster, ClusterSpec, ClusterVm, ClusterZone, MESH_SECRET},
    demo::{demo_config, run_demo},
    process::{ChildProcess, HttpClient, wait_until},
};
