//! Faults at given times of a round.

use {
    async_io::block_on,
    clock::{Instant, SharedClock},
    eyre::{Result, ensure},
    harness::{Cluster, ClusterVm},
    rustix::process::Signal,
    standin::{
        engine::{EngineCommand, ExecutedCompletion},
        platform::{PlatformCommand, PlatformFaults},
        service::ServiceCommand,
    },
    std::time::Duration,
    types::EndpointId,
};

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Act {
    /// The engine with this index becomes slower by a factor; 1 heals it.
    Slow(usize, f64),
    /// The engine with this index cuts its streams and refuses all requests, or recovers.
    Crash(usize, bool),
    /// The engine with this index stops making tokens, or goes on.
    Hang(usize, bool),
    /// The platform fails every call, or recovers.
    PlatformDown(bool),
    /// The platform answers after this many milliseconds.
    PlatformSlow(u64),
    /// The service replica with this index executes its next request and never answers it.
    LoseAnswer(usize),
    /// The entry of the VM with this index is stopped gracefully and started again.
    RestartEntry(usize),
    /// The entry of the VM with this index is frozen, or goes on.
    PauseEntry(usize, bool),
    /// The steward of the VM with this index is killed and started again.
    RestartSteward(usize),
    /// Cheap endpoints of the first availability zone are marked as leaving.
    Notice,
    /// These endpoints are removed from the list and killed.
    Evict,
}

/// An act and its time from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fault {
    pub(crate) at: f64,
    pub(crate) act: Act,
}

/// What engines had executed that were killed.
pub(crate) type LostRecords = Vec<(EndpointId, Vec<ExecutedCompletion>)>;

/// Carries out all faults at their times.
pub(crate) fn inject(
    cluster: &mut Cluster,
    clock: &SharedClock,
    start: Instant,
    faults: &[Fault],
) -> Result<LostRecords> {
    let mut lost = Vec::new();
    for fault in faults {
        let due = start + Duration::from_secs_f64(fault.at);
        let now = clock.now();
        if now < due {
            block_on(clock.sleep(due.since(now)));
        }
        act(cluster, fault.act, &mut lost)?;
    }
    Ok(lost)
}

fn act(cluster: &mut Cluster, act: Act, lost: &mut LostRecords) -> Result<()> {
    match act {
        Act::Slow(engine, factor) => tell(cluster, engine, &[EngineCommand::Slow(factor)]),
        Act::Crash(engine, on) => {
            let cut = on.then_some(0);
            tell(
                cluster,
                engine,
                &[EngineCommand::Fail(on), EngineCommand::CutAfter(cut)],
            )
        }
        Act::Hang(engine, on) => tell(cluster, engine, &[EngineCommand::Hang(on)]),
        Act::PlatformDown(down) => fault(
            cluster,
            PlatformFaults {
                down,
                ..PlatformFaults::default()
            },
        ),
        Act::PlatformSlow(delay_ms) => fault(
            cluster,
            PlatformFaults {
                delay_ms,
                ..PlatformFaults::default()
            },
        ),
        Act::LoseAnswer(service) => {
            let services = cluster.services();
            let addr = services[service % services.len()].addr;
            cluster.control_endpoint(addr, &ServiceCommand::LoseAnswers(1))
        }
        Act::RestartEntry(vm) => {
            let vm = vm_at(cluster, vm);
            let status = vm.entry.stop()?;
            ensure!(
                status.success(),
                "the entry of {} did not stop cleanly",
                vm.vm
            );
            vm.restart_entry()
        }
        Act::PauseEntry(vm, on) => {
            let signal = if on { Signal::STOP } else { Signal::CONT };
            vm_at(cluster, vm).entry.signal(signal)
        }
        Act::RestartSteward(vm) => {
            let platform = cluster.platform_addr;
            let vm = vm_at(cluster, vm);
            if let Some(steward) = &mut vm.steward {
                steward.kill()?;
            }
            vm.start_steward(platform, "")
        }
        Act::Notice => cluster.control_platform(&PlatformCommand::Leave(evicted(cluster))),
        Act::Evict => evict(cluster, lost),
    }
}

fn fault(cluster: &Cluster, fault: PlatformFaults) -> Result<()> {
    cluster.control_platform(&PlatformCommand::Fault(fault))
}

fn vm_at(cluster: &mut Cluster, index: usize) -> &mut ClusterVm {
    let count = cluster.vms.len();
    &mut cluster.vms[index % count]
}

fn tell(cluster: &Cluster, engine: usize, controls: &[EngineCommand]) -> Result<()> {
    let engines = cluster.engines();
    let addr = engines[engine % engines.len()].addr;
    controls
        .iter()
        .try_for_each(|c| cluster.control_endpoint(addr, c))
}

/// Cheap endpoints of the first availability zone.
fn evicted(cluster: &Cluster) -> Vec<EndpointId> {
    let zone = cluster.endpoints.first().map(|(zone, _)| zone.clone());
    let all = cluster.endpoints.iter();
    all.filter(|(z, e)| e.cheap && Some(z) == zone.as_ref())
        .map(|(_, e)| e.id.clone())
        .collect()
}

fn evict(cluster: &mut Cluster, lost: &mut LostRecords) -> Result<()> {
    let ids = evicted(cluster);
    for endpoint in cluster
        .engines()
        .into_iter()
        .filter(|e| ids.contains(&e.id))
    {
        lost.push((endpoint.id, cluster.http.get(endpoint.addr, "/record")?));
    }
    cluster.control_platform(&PlatformCommand::Remove(ids.clone()))?;
    for endpoint in cluster
        .engines()
        .into_iter()
        .filter(|e| ids.contains(&e.id))
    {
        cluster.kill_backend(endpoint.addr)?;
    }
    Ok(())
}
