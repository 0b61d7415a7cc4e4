//! Proofs: a fault-injecting TCP proxy, and a scenario language that states what must hold.

mod proxy;
mod run;
mod script;

pub use {
    proxy::{Control, FaultProxy, Faults, Hold, LinkId, Opened},
    run::run_script,
    script::{Script, ScriptError, parse_script},
};
