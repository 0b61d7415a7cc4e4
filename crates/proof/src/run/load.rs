//! Sends load in the background.

use {
    super::testbed::{SentRequest, Testbed},
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

/// Latency targets of all flows. They are loose because scenarios check responses, not latencies.
const FIRST_TOKEN_TARGET_MS: u64 = 10_000;
const TOKEN_GAP_TARGET_MS: u64 = 1_000;

/// Key of an organisation in the demo's configuration.
pub(super) fn org_key(org: &OrgId) -> String {
    format!("ck-demo-{org}")
}

fn flow(spec: &FlowSpec) -> Flow {
    Flow {
        org: spec.org.clone(),
        key: org_key(&spec.org).into(),
        class: spec.class.clone(),
        first_ms: FIRST_TOKEN_TARGET_MS,
        between_ms: TOKEN_GAP_TARGET_MS,
        rate: spec.rate,
        from_s: 0.0,
        until_s: None,
        work: spec.work.clone(),
    }
}

impl Testbed {
    /// Starts to send the arrivals of the named flows for `duration`.
    pub(super) fn start_load(&mut self, names: &[CompactString], duration: Duration) -> Result<()> {
        let specs: Vec<FlowSpec> = names
            .iter()
            .filter_map(|n| self.scenario.flows.iter().find(|f| f.name == *n).cloned())
            .collect();
        // Each load of a scenario has its own arrivals and serial numbers.
        let load_number = self.loads_started;
        self.loads_started += 1;
        let plan = LoadPlan {
            entries: vec![self.balancer.addr],
            seconds: duration.as_secs_f64(),
            seed: self.scenario.seed ^ (load_number << 32),
            flows: specs.iter().map(flow).collect(),
        };
        self.loads
            .push(thread::spawn(move || run_load(&plan, &specs)));
        Ok(())
    }

    /// Waits until all loads have ended and collects their requests.
    pub(super) fn finish_loads(&mut self) -> Result<()> {
        for load in std::mem::take(&mut self.loads) {
            let sent = load.join().map_err(|_| eyre!("a load thread panicked"))?;
            self.sent.extend(sent);
        }
        Ok(())
    }
}

fn run_load(plan: &LoadPlan, specs: &[FlowSpec]) -> Vec<SentRequest> {
    let ex = Arc::new(Executor::new());
    let driver = Driver::new(SystemClock::shared(), ex.clone());
    let samples = block_on(ex.run(driver.run(plan)));
    let sent = samples.into_iter().map(|sample| SentRequest {
        flow: specs[sample.flow].name.clone(),
        spec: plan.flows[sample.flow].clone(),
        sample,
    });
    sent.collect()
}
