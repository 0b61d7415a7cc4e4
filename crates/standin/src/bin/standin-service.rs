//! Stand-in plain service as a process.

use {
    daemon::ProgramInfo,
    standin::{run_standin, service::Service},
    std::process::ExitCode,
};

const USAGE: ProgramInfo = ProgramInfo {
    name: "standin-service",
    about: "stand-in of a plain service",
};

fn main() -> ExitCode {
    run_standin(USAGE, "service", |p| Service::new(p.clock.clone()))
}
