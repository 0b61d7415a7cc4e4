//! `celery-load`: sends the load described by a YAML plan and prints a summary.

use {
    async_executor::Executor,
    clock::SystemClock,
    conf::load_settings,
    eyre::{Result, bail},
    load::{Driver, LoadPlan, LoadSummary},
    pico_args::Arguments,
    std::{path::PathBuf, process::ExitCode, sync::Arc},
};

const HELP: &str = "\
celery-load: sends the load described by a YAML plan and verifies every response

Usage: celery-load PLAN [--json]

Exit codes: 0 every response was complete and correct, or a refusal; 1 a response was truncated,
incorrect or missing; 2 invalid command line or plan.
";

fn options() -> Result<Option<(LoadPlan, bool)>> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let json = args.contains("--json");
    let path: PathBuf = args.free_from_str()?;
    if let Some(extra) = args.finish().first() {
        bail!("unknown argument {extra:?}; see --help");
    }
    Ok(Some((load_settings(&path)?, json)))
}

fn main() -> ExitCode {
    let (plan, json) = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("celery-load: {e:#}");
            return ExitCode::from(2);
        }
    };
    let ex = Arc::new(Executor::new());
    let driver = Driver::new(SystemClock::shared(), ex.clone());
    let samples = async_io::block_on(ex.run(driver.run(&plan)));
    let summary = LoadSummary::from_samples(&plan, &samples);
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&summary).unwrap_or_default()
        );
    } else {
        println!("{summary}");
    }
    if summary.failed() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
