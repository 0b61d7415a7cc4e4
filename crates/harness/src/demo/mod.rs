//! The demo: starts two availability zones, sends mixed traffic and stops them gracefully.

mod config;
mod run;

pub use {config::demo_config, run::run_demo};
