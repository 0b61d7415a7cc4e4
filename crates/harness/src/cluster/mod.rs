//! A whole system as processes on loopback.

mod spec;
mod start;
mod vm;

pub use {
    spec::{ClusterSpec, ClusterZone},
    start::Cluster,
    vm::{ClusterVm, MESH_SECRET},
};
