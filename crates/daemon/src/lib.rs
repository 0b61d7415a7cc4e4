//! Common parts of all processes: command line, settings, logging, metrics, signals, worker threads
//! and health pages.

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
