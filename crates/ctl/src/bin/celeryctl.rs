//! `celeryctl`, the command-line tool of operators.

use {ctl::run_command, pico_args::Arguments, std::process::ExitCode};

fn main() -> ExitCode {
    async_io::block_on(run_command(Arguments::from_env())).into()
}
