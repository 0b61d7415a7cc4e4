//! Carries out the steps of a scenario.

use {
    super::{bench::Bench, check::check, pause::pause},
    crate::scenario::ast::{Act, Line, LinkFault, Place, PlatformFault, Role, Step},
    eyre::{Result, bail, ensure, eyre},
    harness::{ChildProcess, wait_until},
    rustix::process::Signal,
    standin::platform::{PlatformCommand, PlatformFaults},
    std::time::Duration,
    types::{EndpointId, OrgId},
};

/// Time in which the balancer has polled every entry.
const BALANCER_LAG: Duration = Duration::from_millis(250);

impl Bench {
    pub(super) fn perform(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::Load(flows, length) => self.load(flows, *length),
            Step::Finish => self.finish(),
            Step::Sleep(time) => {
                pause(*time);
                Ok(())
            }
            Step::Process(act, Role::Entry, place) => self.entries(*act, place),
            Step::Process(act, Role::Steward, place) => self.stewards(*act, place),
            Step::Platform(fault) => self.platform(fault),
            Step::Engine(place, control) => {
                self.control_sites(Line::Engine, place, |b, a| b.control_endpoint(a, control))
            }
            Step::Service(place, control) => {
                self.control_sites(Line::Service, place, |b, a| b.control_endpoint(a, control))
            }
            Step::Link(line, place, fault) => self.link(*line, place, fault),
            Step::Leave(place) => {
                let ids = self.ids(place)?;
                self.cluster.control_platform(&PlatformCommand::Leave(ids))
            }
            Step::Remove(place) => {
                let ids = self.ids(place)?;
                self.cluster.control_platform(&PlatformCommand::Remove(ids))
            }
            Step::Withdraw(org) => self.withdraw(org),
            Step::Weight(org, weight) => self.weight(org, &[*weight]),
            Step::Race(org, operators) => {
                let weights: Vec<u32> = (2..operators + 2).collect();
                self.weight(org, &weights)
            }
            Step::Pool(zone, min, max) => self.pool(zone, *min, *max),
            Step::Settle => self.settle(),
            Step::Mark(name) => {
                let mark = self.record()?;
                self.marks.insert(name.clone(), mark);
                Ok(())
            }
            Step::Check(what) => check(self, what),
        }
    }

    fn entries(&mut self, act: Act, place: &Place) -> Result<()> {
        for index in self.some_vms(place)? {
            let vm = &mut self.cluster.vms[index];
            match act {
                Act::Stop => {
                    let status = vm.entry.stop()?;
                    ensure!(status.success(), "entry of {} ended with {status}", vm.vm);
                }
                Act::Kill => vm.entry.kill()?,
                Act::Pause => vm.entry.signal(Signal::STOP)?,
                Act::Continue => vm.entry.signal(Signal::CONT)?,
                Act::Start => vm.restart_entry()?,
            }
            match act {
                Act::Stop | Act::Kill | Act::Pause => self.away.insert(index),
                Act::Continue | Act::Start => self.away.remove(&index),
            };
        }
        Ok(())
    }

    fn stewards(&mut self, act: Act, place: &Place) -> Result<()> {
        for index in self.some_vms(place)? {
            let vm = &mut self.cluster.vms[index];
            if act == Act::Start {
                vm.start_steward(vm.platform, &self.scenario.stewards)?;
                continue;
            }
            let steward = vm.steward.as_mut();
            let steward = steward.ok_or_else(|| eyre!("{} has no steward", vm.vm))?;
            match act {
                Act::Stop => {
                    let status = steward.stop()?;
                    ensure!(status.success(), "steward of {} ended with {status}", vm.vm);
                }
                Act::Kill => steward.kill()?,
                Act::Pause => steward.signal(Signal::STOP)?,
                Act::Continue => steward.signal(Signal::CONT)?,
                Act::Start => {}
            }
        }
        Ok(())
    }

    fn some_vms(&self, place: &Place) -> Result<Vec<usize>> {
        let vms = self.vms(place);
        ensure!(!vms.is_empty(), "no VM is meant by {place:?}");
        Ok(vms)
    }

    fn platform(&mut self, fault: &PlatformFault) -> Result<()> {
        self.oracle()?;
        match fault {
            PlatformFault::Down => self.fault.down = true,
            PlatformFault::Up => self.fault = PlatformFaults::default(),
            PlatformFault::Slow(delay) => {
                self.fault.delay_ms = u64::try_from(delay.as_millis())?;
            }
            PlatformFault::LoseAnswers(count) => self.fault.lose_answers = *count,
        }
        self.cluster
            .control_platform(&PlatformCommand::Fault(self.fault.clone()))
    }

    fn control_sites(
        &self,
        line: Line,
        place: &Place,
        send: impl Fn(&harness::Cluster, std::net::SocketAddr) -> Result<()>,
    ) -> Result<()> {
        let meant = self.meant(line, place);
        ensure!(!meant.is_empty(), "no endpoint is meant by {place:?}");
        for index in meant {
            send(&self.cluster, self.sites[index].addr)?;
        }
        Ok(())
    }

    fn link(&self, line: Line, place: &Place, fault: &LinkFault) -> Result<()> {
        let links = self.links.iter();
        let meant = links.filter(|l| l.line == line && place.holds(&l.zone, l.index));
        let mut found = false;
        for link in meant {
            found = true;
            match fault {
                LinkFault::Set(faults) => self.proxy.faults(link.link, faults.clone())?,
                LinkFault::Reset => self.proxy.reset(link.link)?,
            }
        }
        ensure!(found, "no link is meant by {place:?}");
        Ok(())
    }

    fn ids(&self, place: &Place) -> Result<Vec<EndpointId>> {
        let meant = self.meant(Line::Engine, place);
        ensure!(!meant.is_empty(), "no engine is meant by {place:?}");
        Ok(meant.iter().map(|&i| self.sites[i].id.clone()).collect())
    }

    /// Withdraws an organisation's key with the operator's command.
    fn withdraw(&self, org: &OrgId) -> Result<()> {
        let platform = self.cluster.platform_addr.to_string();
        let key = super::load::key_text(org);
        let args = ["key", "withdraw", "--platform", &platform, "--key", &key];
        let mut command = ChildProcess::start("celeryctl", &args)?;
        let status = command.wait()?;
        ensure!(status.success(), "celeryctl ended with {status}");
        Ok(())
    }

    /// Waits until every entry that runs is ready and has the configuration that the log folds to.
    fn settle(&mut self) -> Result<()> {
        self.oracle()?;
        let mut last = String::new();
        let waited = wait_until(
            "every entry has the configuration of the log",
            || match self.config_even() {
                Ok(()) => true,
                Err(e) => {
                    last = format!("{e:#}");
                    false
                }
            },
        );
        match waited {
            Err(e) => bail!("{e}: {last}"),
            // The balancer polls; it has to have seen the entries too.
            Ok(()) => {
                pause(BALANCER_LAG);
                Ok(())
            }
        }
    }
}
