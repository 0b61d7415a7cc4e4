//! Program that runs the fault proxy.

use {daemon::ProgramInfo, proof::FaultProxy, standin::run_standin, std::process::ExitCode};

const PROGRAM: ProgramInfo = ProgramInfo {
    name: "faultproxy",
    about: "TCP proxy that injects faults",
};

fn main() -> ExitCode {
    run_standin(PROGRAM, "control", |p| {
        FaultProxy::new(p.clock.clone(), p.ex.clone())
    })
}
