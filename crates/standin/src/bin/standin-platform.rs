//! Stand-in platform as a process.

use {
    daemon::ProgramInfo,
    standin::{platform::Platform, run_standin},
    std::process::ExitCode,
};

const USAGE: ProgramInfo = ProgramInfo {
    name: "standin-platform",
    about: "stand-in of the platform",
};

fn main() -> ExitCode {
    run_standin(USAGE, "platform", |p| Platform::new(p.clock.clone()))
}
