//! What lives for a process: command line, logs, metrics, signals, worker pool, health pages.

mod admin;
mod args;
mod logs;
mod process;
mod settings;

pub use {
    admin::{AdminHandler, AdminPages, Readiness},
    args::{Args, ProgramInfo},
    logs::init_logs,
    process::{Process, run_daemon, run_process},
    settings::{LogLevel, ProcessSettings, Settings},
};
