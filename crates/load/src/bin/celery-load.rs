//! The load tool.

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
celery-load: sends the load that a YAML plan describes, and checks every answer

Usage: celery-load PLAN [--json]

Exit codes: 0 every answer was whole and the request's own, or a refusal; 1 some answer was cut, wrong
or missing; 2 bad command line or plan.
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
    let report = LoadSummary::from_samples(&plan, &samples);
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        println!("{report}");
    }
    if report.failed() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
