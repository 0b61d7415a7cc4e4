//! A whole system as processes on the loopback interface.

mod spec;
mod start;
mod vm;

pub use {
    spec::{ClusterSpec, ClusterZone},
    start::Cluster,
    vm::{ClusterVm, MESH_SECRET},
};
