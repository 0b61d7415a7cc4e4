//! Command-line program that runs scenario files.

use {
    clock::SystemClock,
    eyre::{Result, WrapErr, bail},
    pico_args::Arguments,
    proof::{parse_scenario, run_scenario},
    std::{fs, path::Path, process::ExitCode},
};

const HELP: &str = "\
celery-prove: runs scenario files against a whole system on loopback

Usage: celery-prove [--check] FILE...

  --check   parse the files and run nothing

Exit codes: 0 all hold, 1 some scenario failed, 2 bad command line.
";

/// Parses a scenario file, runs it unless `parse_only`, and returns its title.
fn run_file(file: &Path, parse_only: bool) -> Result<String> {
    let text = fs::read_to_string(file).wrap_err("cannot read the file")?;
    let scenario = parse_scenario(&text)?;
    let title = scenario.title().to_owned();
    if !parse_only {
        run_scenario(scenario)?;
    }
    Ok(title)
}

/// Files and whether to parse only; `None` if help is asked for.
fn options() -> Result<Option<(Vec<String>, bool)>> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let parse_only = args.contains("--check");
    let files: Vec<String> = args
        .finish()
        .into_iter()
        .map(|f| f.to_string_lossy().into_owned())
        .collect();
    if files.is_empty() || files.iter().any(|f| f.starts_with('-')) {
        bail!("expected one or more scenario files; see --help");
    }
    Ok(Some((files, parse_only)))
}

fn main() -> ExitCode {
    let (files, parse_only) = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("celery-prove: {e:#}");
            return ExitCode::from(2);
        }
    };
    let clock = SystemClock::shared();
    let mut failed = 0;
    for file in &files {
        let start = clock.now();
        let outcome = run_file(Path::new(file), parse_only);
        let seconds = clock.now().since(start).as_secs_f64();
        match outcome {
            Ok(title) => println!("holds   {seconds:>5.1} s  {file}: {title}"),
            Err(e) => {
                failed += 1;
                println!("FAILED  {seconds:>5.1} s  {file}: {e:#}");
            }
        }
    }
    ExitCode::from(u8::from(failed > 0))
}
