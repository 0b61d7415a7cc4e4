//! Program that runs the stand-in platform.

use {
    daemon::ProgramInfo,
    standin::{platform::Platform, run_standin},
    std::process::ExitCode,
};

const PROGRAM: ProgramInfo = ProgramInfo {
    name: "standin-platform",
    about: "stand-in of the platform",
};

fn main() -> ExitCode {
    run_standin(PROGRAM, "platform", |p| Platform::new(p.clock.clone()))
}
