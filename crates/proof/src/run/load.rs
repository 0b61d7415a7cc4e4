//! Load in the background.

use {
    super::bench::{Bench, Sent},
    crate::scenario::ast::FlowSpec,
    async_executor::Executor,
    async_io::block_on,
    clock::SystemClock,
    compact_str::CompactString,
    eyre::{Result, eyre},
    load::{Driver, Flow, LoadPlan},
    std::{sync::Arc, thread, time::Duration},
    types::OrgId,
};

/// Targets of flows; scenarios judge answers, not latencies.
const FIRST_MS: u64 = 10_000;
const BETWEEN_MS: u64 = 1_000;

/// Key of an organisation in the demo's configuration.
pub(super) fn key_text(org: &OrgId) -> String {
    format!("ck-demo-{org}")
}

fn flow(spec: &FlowSpec) -> Flow {
    Flow {
        org: spec.org.clone(),
        key: key_text(&spec.org).into(),
        class: spec.class.clone(),
        first_ms: FIRST_MS,
        between_ms: BETWEEN_MS,
        rate: spec.rate,
        from_s: 0.0,
        until_s: None,
        work: spec.work.clone(),
    }
}

impl Bench {
    /// Starts to send the arrivals of some flows.
    pub(super) fn load(&mut self, names: &[CompactString], length: Duration) -> Result<()> {
        let specs: Vec<FlowSpec> = names
            .iter()
            .filter_map(|n| self.scenario.flows.iter().find(|f| f.name == *n).cloned())
            .collect();
        // Each load of a scenario has arrivals and serial numbers of its own.
        let turn = self.started;
        self.started += 1;
        let plan = LoadPlan {
            entries: vec![self.balancer.addr],
            seconds: length.as_secs_f64(),
            seed: self.scenario.seed ^ (turn << 32),
            flows: specs.iter().map(flow).collect(),
        };
        self.loads.push(thread::spawn(move || drive(&plan, &specs)));
        Ok(())
    }

    /// Waits for the outcomes of all loads.
    pub(super) fn finish(&mut self) -> Result<()> {
        for load in std::mem::take(&mut self.loads) {
            let sent = load.join().map_err(|_| eyre!("a load panicked"))?;
            self.sent.extend(sent);
        }
        Ok(())
    }
}

fn drive(plan: &LoadPlan, specs: &[FlowSpec]) -> Vec<Sent> {
    let ex = Arc::new(Executor::new());
    let driver = Driver::new(SystemClock::shared(), ex.clone());
    let samples = block_on(ex.run(driver.run(plan)));
    let sent = samples.into_iter().map(|sample| Sent {
        flow: specs[sample.flow].name.clone(),
        spec: plan.flows[sample.flow].clone(),
        sample,
    });
    sent.collect()
}
