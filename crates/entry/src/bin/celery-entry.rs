//! Command line of the entry daemon.

use {
    daemon::{Usage, run},
    entry::{EntrySettings, run_entry},
    std::process::ExitCode,
};

const USAGE: Usage = Usage {
    name: "celery-entry",
    about: "takes callers' requests and routes them to endpoints",
};

fn main() -> ExitCode {
    run::<EntrySettings, _, _>(USAGE, run_entry)
}
