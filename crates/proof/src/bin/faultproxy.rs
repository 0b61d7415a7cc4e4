//! The fault proxy as a process.

use {daemon::ProgramInfo, proof::FaultProxy, standin::run_standin, std::process::ExitCode};

const USAGE: ProgramInfo = ProgramInfo {
    name: "faultproxy",
    about: "TCP proxy that injects faults",
};

fn main() -> ExitCode {
    run_standin(USAGE, "control", |p| {
        FaultProxy::new(p.clock.clone(), p.ex.clone())
    })
}
