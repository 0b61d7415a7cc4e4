//! Proofs: a fault-injecting TCP proxy, and a scenario language that states what must hold.

mod proxy;
mod run;
mod scenario;

pub use {
    proxy::{FaultProxy, HeldDirection, LinkFaults, LinkId, OpenedLink, ProxyCommand},
    run::run_scenario,
    scenario::{Scenario, ScenarioError, parse_scenario},
};
