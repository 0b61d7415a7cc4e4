//! Program that runs the demo.

use {eyre::Result, harness::run_demo, pico_args::Arguments};

const DEFAULT_SECONDS: f64 = 10.0;

fn main() -> Result<()> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("celery-demo [--seconds N]: runs a whole system on loopback under mixed traffic");
        return Ok(());
    }
    let seconds = args
        .opt_value_from_str("--seconds")?
        .unwrap_or(DEFAULT_SECONDS);
    run_demo(seconds)
}
