//! What lives for a process: command line, logs, metrics, signals, worker pool, health pages.

mod admin;
mod args;
mod logs;
mod process;
mod settings;

pub use {
    admin::{Admin, Pages, Readiness},
    args::{Args, Usage},
    logs::init_logs,
    process::{Process, run, run_with},
    settings::{LogLevel, ProcessSettings, Settings},
};
