//! A whole system as processes on loopback.

mod shape;
mod start;
mod vm;

pub use {
    shape::{Shape, ZoneShape},
    start::Cluster,
    vm::{MESH_SECRET, Vm},
};
