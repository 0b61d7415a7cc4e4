//! Runs scenarios.

mod balancer;
mod bench;
mod check;
mod config;
mod links;
mod load;
mod pause;
mod peek;
mod perform;
mod record;

use {
    crate::Scenario,
    bench::Bench,
    eyre::{Result, WrapErr},
};

/// Runs a scenario; the error names the line of the first step that failed.
pub fn run_scenario(scenario: Scenario) -> Result<()> {
    let steps = scenario.steps.clone();
    let mut bench = Bench::start(scenario).wrap_err("the system did not start")?;
    for placed in &steps {
        bench
            .perform(&placed.step)
            .wrap_err_with(|| format!("line {}", placed.line))?;
    }
    Ok(())
}
