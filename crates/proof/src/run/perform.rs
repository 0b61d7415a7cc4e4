//! Performs the steps of a scenario.

use {
    super::{check::check, sleep::sleep, testbed::Testbed},
    crate::scenario::ast::{
        LinkAction, LinkKind, PlatformAction, ProcessAction, ProcessRole, Selector, Step,
    },
    eyre::{Result, bail, ensure, eyre},
    harness::{ChildProcess, wait_until},
    rustix::process::Signal,
    standin::platform::{PlatformCommand, PlatformFaults},
    std::time::Duration,
    types::{EndpointId, OrgId},
};

/// Time within which the balancer has polled every entry.
const BALANCER_LAG: Duration = Duration::from_millis(250);

impl Testbed {
    pub(super) fn perform(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::Load(flows, duration) => self.start_load(flows, *duration),
            Step::Finish => self.finish_loads(),
            Step::Sleep(time) => {
                sleep(*time);
                Ok(())
            }
            Step::Process(action, ProcessRole::Entry, selector) => {
                self.act_on_entries(*action, selector)
            }
            Step::Process(action, ProcessRole::Steward, selector) => {
                self.act_on_stewards(*action, selector)
            }
            Step::Platform(action) => self.act_on_platform(action),
            Step::Engine(selector, command) => {
                self.control_endpoints(LinkKind::Engine, selector, |c, a| {
                    c.control_endpoint(a, command)
                })
            }
            Step::Service(selector, command) => {
                self.control_endpoints(LinkKind::Service, selector, |c, a| {
                    c.control_endpoint(a, command)
                })
            }
            Step::Link(kind, selector, action) => self.act_on_links(*kind, selector, action),
            Step::Leave(selector) => {
                let ids = self.engine_ids(selector)?;
                self.cluster.control_platform(&PlatformCommand::Leave(ids))
            }
            Step::Remove(selector) => {
                let ids = self.engine_ids(selector)?;
                self.cluster.control_platform(&PlatformCommand::Remove(ids))
            }
            Step::Withdraw(org) => self.withdraw_key(org),
            Step::Weight(org, weight) => self.publish_weights(org, &[*weight]),
            Step::Race(org, operators) => {
                let weights: Vec<u32> = (2..operators + 2).collect();
                self.publish_weights(org, &weights)
            }
            Step::Pool(zone, min, max) => self.publish_pool(zone, *min, *max),
            Step::Settle => self.settle(),
            Step::Mark(name) => {
                let executions = self.read_executions()?;
                self.marks.insert(name.clone(), executions);
                Ok(())
            }
            Step::Check(expected) => check(self, expected),
        }
    }

    fn act_on_entries(&mut self, action: ProcessAction, selector: &Selector) -> Result<()> {
        for index in self.require_vms(selector)? {
            let vm = &mut self.cluster.vms[index];
            match action {
                ProcessAction::Stop => {
                    let status = vm.entry.stop()?;
                    ensure!(status.success(), "entry of {} ended with {status}", vm.vm);
                }
                ProcessAction::Kill => vm.entry.kill()?,
                ProcessAction::Pause => vm.entry.signal(Signal::STOP)?,
                ProcessAction::Continue => vm.entry.signal(Signal::CONT)?,
                ProcessAction::Start => vm.restart_entry()?,
            }
            match action {
                ProcessAction::Stop | ProcessAction::Kill | ProcessAction::Pause => {
                    self.entries_down.insert(index)
                }
                ProcessAction::Continue | ProcessAction::Start => self.entries_down.remove(&index),
            };
        }
        Ok(())
    }

    fn act_on_stewards(&mut self, action: ProcessAction, selector: &Selector) -> Result<()> {
        for index in self.require_vms(selector)? {
            let vm = &mut self.cluster.vms[index];
            if action == ProcessAction::Start {
                vm.start_steward(vm.platform, &self.scenario.steward_settings)?;
                continue;
            }
            let steward = vm.steward.as_mut();
            let steward = steward.ok_or_else(|| eyre!("{} has no steward", vm.vm))?;
            match action {
                ProcessAction::Stop => {
                    let status = steward.stop()?;
                    ensure!(status.success(), "steward of {} ended with {status}", vm.vm);
                }
                ProcessAction::Kill => steward.kill()?,
                ProcessAction::Pause => steward.signal(Signal::STOP)?,
                ProcessAction::Continue => steward.signal(Signal::CONT)?,
                ProcessAction::Start => {}
            }
        }
        Ok(())
    }

    /// Indexes of the VMs that `selector` selects; an error if there are none.
    fn require_vms(&self, selector: &Selector) -> Result<Vec<usize>> {
        let vms = self.vms_at(selector);
        ensure!(!vms.is_empty(), "no VM matches {selector:?}");
        Ok(vms)
    }

    fn act_on_platform(&mut self, action: &PlatformAction) -> Result<()> {
        self.read_log_config()?;
        match action {
            PlatformAction::Down => self.platform_faults.down = true,
            PlatformAction::Up => self.platform_faults = PlatformFaults::default(),
            PlatformAction::Slow(delay) => {
                self.platform_faults.delay_ms = u64::try_from(delay.as_millis())?;
            }
            PlatformAction::LoseResponses(count) => self.platform_faults.lose_answers = *count,
        }
        self.cluster
            .control_platform(&PlatformCommand::Fault(self.platform_faults.clone()))
    }

    fn control_endpoints(
        &self,
        kind: LinkKind,
        selector: &Selector,
        send: impl Fn(&harness::Cluster, std::net::SocketAddr) -> Result<()>,
    ) -> Result<()> {
        let selected = self.endpoints_at(kind, selector);
        ensure!(!selected.is_empty(), "no endpoint matches {selector:?}");
        for index in selected {
            send(&self.cluster, self.endpoints[index].addr)?;
        }
        Ok(())
    }

    fn act_on_links(&self, kind: LinkKind, selector: &Selector, action: &LinkAction) -> Result<()> {
        let links = self.links.iter();
        let selected = links.filter(|l| l.kind == kind && selector.selects(&l.zone, l.index));
        let mut found = false;
        for placed in selected {
            found = true;
            match action {
                LinkAction::Set(faults) => self.proxy.set_faults(placed.link, faults.clone())?,
                LinkAction::Reset => self.proxy.reset(placed.link)?,
            }
        }
        ensure!(found, "no link matches {selector:?}");
        Ok(())
    }

    fn engine_ids(&self, selector: &Selector) -> Result<Vec<EndpointId>> {
        let selected = self.endpoints_at(LinkKind::Engine, selector);
        ensure!(!selected.is_empty(), "no engine matches {selector:?}");
        Ok(selected
            .iter()
            .map(|&i| self.endpoints[i].id.clone())
            .collect())
    }

    /// Withdraws an organisation's key with the operator's command.
    fn withdraw_key(&self, org: &OrgId) -> Result<()> {
        let platform = self.cluster.platform_addr.to_string();
        let key = super::load::org_key(org);
        let args = ["key", "withdraw", "--platform", &platform, "--key", &key];
        let mut command = ChildProcess::start("celeryctl", &args)?;
        let status = command.wait()?;
        ensure!(status.success(), "celeryctl ended with {status}");
        Ok(())
    }

    /// Waits until every running entry is ready and has the log's configuration.
    fn settle(&mut self) -> Result<()> {
        self.read_log_config()?;
        let mut last_error = String::new();
        let waited = wait_until(
            "every entry has the configuration of the log",
            || match self.check_config_everywhere() {
                Ok(()) => true,
                Err(e) => {
                    last_error = format!("{e:#}");
                    false
                }
            },
        );
        match waited {
            Err(e) => bail!("{e}: {last_error}"),
            // The balancer has to poll the entries too before it sends them connections.
            Ok(()) => {
                sleep(BALANCER_LAG);
                Ok(())
            }
        }
    }
}
