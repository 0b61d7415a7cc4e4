//! The demo: two availability zones, mixed traffic, graceful stop.

mod config;
mod run;

pub use {config::demo_config, run::run_demo};
