//! The `celery-steward` program: runs the steward daemon.

use {
    daemon::{ProgramInfo, run_daemon},
    std::process::ExitCode,
    steward::{StewardSettings, run_steward},
};

const USAGE: ProgramInfo = ProgramInfo {
    name: "celery-steward",
    about: "follows the platform for the VM that it runs on",
};

fn main() -> ExitCode {
    run_daemon::<StewardSettings, _, _>(USAGE, run_steward)
}
