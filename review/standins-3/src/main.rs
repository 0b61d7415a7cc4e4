//! The cases of the third review: starts `celery-node` processes on loopback addresses before stand-ins for
//! the users' platform, their replicas and their clients.

mod callers;
mod cases;
mod client;
mod config;
mod fleet;
mod platform;
mod record;
mod replica;

use std::process::ExitCode;

/// Exit codes of a case.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(&case, folder.as_ref(), trouble) {
        Ok(true) => ExitCode::from(HELD),
        Ok(false) => ExitCode::from(BROKEN),
        Err(cause) => {
            eprintln!("{case}: could not run: {cause}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
