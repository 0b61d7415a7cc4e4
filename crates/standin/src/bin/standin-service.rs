//! Program that runs the stand-in plain service.

use {
    daemon::ProgramInfo,
    standin::{run_standin, service::Service},
    std::process::ExitCode,
};

const PROGRAM: ProgramInfo = ProgramInfo {
    name: "standin-service",
    about: "stand-in of a plain service",
};

fn main() -> ExitCode {
    run_standin(PROGRAM, "service", |p| Service::new(p.clock.clone()))
}
