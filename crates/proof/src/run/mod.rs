//! Runs scenarios.

mod balancer;
mod check;
mod config;
mod entry_state;
mod executions;
mod load;
mod perform;
mod proxy_client;
mod sleep;
mod testbed;

use {
    crate::Scenario,
    eyre::{Result, WrapErr},
    testbed::Testbed,
};

/// Runs a scenario; the error names the line of the first step that failed.
pub fn run_scenario(scenario: Scenario) -> Result<()> {
    let steps = scenario.steps.clone();
    let mut testbed = Testbed::start(scenario).wrap_err("the system did not start")?;
    for numbered in &steps {
        testbed
            .perform(&numbered.step)
            .wrap_err_with(|| format!("line {}", numbered.line))?;
    }
    Ok(())
}
