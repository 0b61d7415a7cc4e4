//! Command line of the entry daemon.

use {
    daemon::{ProgramInfo, run_daemon},
    entry::{EntrySettings, run_entry},
    std::process::ExitCode,
};

const USAGE: ProgramInfo = ProgramInfo {
    name: "celery-entry",
    about: "takes callers' requests and routes them to endpoints",
};

fn main() -> ExitCode {
    run_daemon::<EntrySettings, _, _>(USAGE, run_entry)
}
