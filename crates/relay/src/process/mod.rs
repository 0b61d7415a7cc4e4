//! What lives as long as the process.

mod account;
mod capacity;
mod drain;
mod duty;
mod follow;
mod gossip;
mod life;
mod node;
mod placing;
mod relay;
mod run;
mod truetime;

pub(crate) use {
    follow::Freshness,
    life::{Connected, Life},
    node::Node,
    truetime::TrueTime,
};
pub use {
    node::NodeProcess,
    run::{Adapter, run_node},
};
