//! Stand-ins of the users' platform, its replicas and clients, and the cases of the review.

mod cases;
mod client;
mod fleet;
mod http;
mod process;
mod record;
mod replica;
mod store;
mod traffic;

use std::{path::Path, process::ExitCode, thread, time::Duration};

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "replica") {
        replica::run_process(&args[1..]);
        return ExitCode::SUCCESS;
    }
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.note(format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        late.note("the case couldn't run: it took too long");
        std::process::exit(2);
    });
    let run = std::panic::catch_unwind(|| cases::run(case, &record, trouble));
    let verdict = run.unwrap_or_else(|_| Verdict::NotRun("the stand-ins failed".into()));
    match verdict {
        Verdict::Held => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            record.note(format!("the case couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}
