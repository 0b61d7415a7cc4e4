//! A zone under load, with the platform's record of usage reports and the engines' record of
//! executed work.

use {
    async_executor::Executor,
    clock::SystemClock,
    eyre::{Result, eyre},
    harness::{Cluster, ClusterSpec, ClusterZone, demo_config, wait_until},
    load::{Driver, Flow, LengthDistribution, LoadPlan, Outcome, RequestKind},
    ports::{UsageLine, UsageReport},
    standin::{
        engine::ExecutedCompletion,
        platform::{PlatformCommand, PlatformFaults, ReceivedCalls, ReceivedReport},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, thread},
    types::{OrgId, VmId},
};

const ORG_HEADER: &str = "x-celerystage-org";
const ORGS: [&str; 2] = ["rice-mill", "tea-estate"];
const MODEL: &str = "surveyor-llm";
const LEASES: &str = "leases: {term_ms: 2000, early_ms: 300, flight_ms: 1000, spread_ms: 0}\n";

/// Requests and tokens by organisation.
pub(crate) type Totals = BTreeMap<OrgId, (u64, u64)>;

pub(crate) struct TestZone {
    pub(crate) cluster: Cluster,
}

impl TestZone {
    /// Starts `vms` VMs in one zone with usage windows of `window_ms`.
    pub(crate) fn start(vms: usize, window_ms: u64) -> Result<Self> {
        Self::start_with_pull(vms, window_ms, 100)
    }

    /// Like [`TestZone::start`], with counts collected every `pull_ms`.
    pub(crate) fn start_with_pull(vms: usize, window_ms: u64, pull_ms: u64) -> Result<Self> {
        let zone = ClusterZone {
            zone: "ernakulam".parse()?,
            vms,
            engines: 3,
            cheap: 0,
            services: 0,
        };
        let shape = ClusterSpec {
            zones: vec![zone],
            model: MODEL.parse()?,
            service: "permit-desk".parse()?,
            items: demo_config()?,
            engine_args: Vec::new(),
            entry_settings: String::new(),
            steward_settings: format!(
                "{LEASES}usage: {{window_ms: {window_ms}, grace_ms: 300, pull_ms: {pull_ms}}}\n"
            ),
        };
        let cluster = Cluster::start(shape)?;
        let zone = Self { cluster };
        zone.wait_holder()?;
        Ok(zone)
    }

    /// Waits until a steward holds the usage lease.
    fn wait_holder(&self) -> Result<()> {
        wait_until("someone holds the usage lease", || {
            let page = self
                .cluster
                .http
                .text(self.cluster.platform_addr, "/log/leases?from=0");
            page.is_ok_and(|p| p.contains("\\\"usage\\\"") && p.contains("renew"))
        })
    }

    pub(crate) fn inject_fault(&self, fault: PlatformFaults) -> Result<()> {
        self.cluster
            .control_platform(&PlatformCommand::Fault(fault))
    }

    /// Returns the number of collected requests that are not sealed. Each steward that collects has copies of
    /// the same requests, also one that has just lost the lease.
    pub(crate) fn unsealed_requests(&self) -> u64 {
        let http = &self.cluster.http;
        let stewards = self.cluster.vms.iter().filter_map(|v| v.steward.as_ref());
        let admins = stewards.filter_map(|s| s.wait_addr("admin").ok());
        let unsealed = admins.map(|a| http.metric(a, "celerystage_usage_held_requests"));
        unsealed.flatten().fold(0.0, f64::max) as u64
    }

    /// Sends load to `entries` in the background for `seconds`. The thread returns the number of
    /// complete responses.
    pub(crate) fn load(
        &self,
        entries: Vec<SocketAddr>,
        seconds: f64,
        rate: f64,
        seed: u64,
    ) -> Result<thread::JoinHandle<u64>> {
        let flow = |org: &str| -> Result<Flow> {
            Ok(Flow {
                org: org.parse()?,
                key: format!("ck-demo-{org}").into(),
                class: "summary".parse()?,
                first_ms: 1_000,
                between_ms: 40,
                rate,
                from_s: 0.0,
                until_s: None,
                work: RequestKind::Chat {
                    model: MODEL.parse()?,
                    lengths: LengthDistribution {
                        median: 5.0,
                        spread: 0.3,
                        longest: 20,
                    },
                    prompt: 40,
                    prefixes: 2,
                },
            })
        };
        let plan = LoadPlan {
            entries,
            seconds,
            seed,
            flows: ORGS.into_iter().map(flow).collect::<Result<_>>()?,
        };
        Ok(thread::spawn(move || {
            let ex = Arc::new(Executor::new());
            let driver = Driver::new(SystemClock::shared(), ex.clone());
            let samples = async_io::block_on(ex.run(driver.run(&plan)));
            let whole = samples.iter().filter(|s| s.outcome == Outcome::Complete);
            whole.count() as u64
        }))
    }

    pub(crate) fn reports(&self) -> Result<Vec<ReceivedReport>> {
        let addr = self.cluster.platform_addr;
        let record: ReceivedCalls = self.cluster.http.get(addr, "/control/record")?;
        Ok(record.reports)
    }

    /// Returns the complete responses that the engines made, by organisation.
    pub(crate) fn executed(&self) -> Result<Totals> {
        let mut totals = Totals::new();
        for (_, engine) in &self.cluster.endpoints {
            let record: Vec<ExecutedCompletion> = self.cluster.http.get(engine.addr, "/record")?;
            for done in record.iter().filter(|e| e.finished) {
                let org = done.headers.iter().find(|(n, _)| n == ORG_HEADER);
                let (_, org) = org.ok_or_else(|| eyre!("no organisation in a request"))?;
                let sum = totals.entry(org.parse()?).or_default();
                sum.0 += 1;
                sum.1 += done.generated;
            }
        }
        Ok(totals)
    }

    /// Waits until everything that the engines executed is reported.
    pub(crate) fn wait_reported(&self) -> Result<()> {
        let matches = || -> Result<bool> { Ok(self.executed()? == totals(&self.reports()?)?) };
        let waited = wait_until("all usage is reported", || matches().unwrap_or_default());
        waited.map_err(|e| {
            let found = self.reports().and_then(|r| totals(&r));
            eyre!("{e}: executed {:?}, reported {found:?}", self.executed())
        })
    }

    /// Waits for a report after the first `seen` ones, and returns the VM that sent it.
    pub(crate) fn sender_after(&self, seen: usize) -> Result<VmId> {
        let next = || Some(self.reports().ok()?.get(seen)?.report.sender.clone());
        wait_until("a further report", || next().is_some())?;
        next().ok_or_else(|| eyre!("no report"))
    }

    /// Returns the index of a VM in the cluster.
    pub(crate) fn vm_index(&self, vm: &VmId) -> Result<usize> {
        let mut vms = self.cluster.vms.iter();
        vms.position(|v| v.vm == *vm)
            .ok_or_else(|| eyre!("no {vm}"))
    }
}

/// Returns the figures by window. Fails if two reports of a window differ.
pub(crate) fn figures(reports: &[ReceivedReport]) -> Result<BTreeMap<&str, &[UsageLine]>> {
    let mut figures = BTreeMap::new();
    for ReceivedReport { report, .. } in reports {
        let UsageReport { window, lines, .. } = report;
        let first = figures.entry(window.as_str()).or_insert(lines.as_slice());
        if *first != lines.as_slice() {
            return Err(eyre!("{window} has two figures: {first:?} and {lines:?}"));
        }
    }
    Ok(figures)
}

/// Returns the reported usage by organisation, counting each window once.
pub(crate) fn totals(reports: &[ReceivedReport]) -> Result<Totals> {
    let mut totals = Totals::new();
    for line in figures(reports)?.into_values().flatten() {
        let sum = totals.entry(line.org.clone()).or_default();
        sum.0 += line.requests;
        sum.1 += line.tokens.0;
    }
    Ok(totals)
}
