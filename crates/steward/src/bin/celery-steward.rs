//! The steward daemon.

use {
    daemon::{Usage, run},
    std::process::ExitCode,
    steward::{StewardSettings, run_steward},
};

const USAGE: Usage = Usage {
    name: "celery-steward",
    about: "follows the platform for the VM that it runs on",
};

fn main() -> ExitCode {
    run::<StewardSettings, _, _>(USAGE, run_steward)
}
