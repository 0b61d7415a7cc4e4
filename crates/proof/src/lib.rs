//! End-to-end scenarios: a fault-injecting TCP proxy, and a language for scenarios and the
//! conditions that must hold in them.

mod proxy;
mod run;
mod scenario;

pub use {
    proxy::{FaultProxy, HeldDirection, LinkFaults, LinkId, OpenedLink, ProxyCommand},
    run::run_scenario,
    scenario::{Scenario, ScenarioError, parse_scenario},
};
