//! Injects faults into a running cluster at set times of a round.

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

/// What a fault does to the cluster. An index is taken modulo the number of such processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum FaultAction {
    /// Slows down the engine with this index by a factor; 1 restores its speed.
    Slow(usize, f64),
    /// Makes the engine with this index break off its streams and refuse all requests, or recover.
    Crash(usize, bool),
    /// Makes the engine with this index stop generating tokens, or resume.
    Hang(usize, bool),
    /// Makes the platform fail every call, or recover.
    PlatformDown(bool),
    /// Delays the platform's responses by this many milliseconds.
    PlatformSlow(u64),
    /// Makes the service replica with this index execute its next request without responding.
    LoseResponse(usize),
    /// Stops the entry of the VM with this index gracefully and starts it again.
    RestartEntry(usize),
    /// Suspends the entry process of the VM with this index (SIGSTOP), or continues it (SIGCONT).
    PauseEntry(usize, bool),
    /// Kills the steward of the VM with this index and starts it again.
    RestartSteward(usize),
    /// Marks the cheap endpoints of the first availability zone as leaving.
    NoticeEviction,
    /// Removes those endpoints from the platform's list and kills their engines.
    Evict,
}

/// An action and its time, in seconds from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fault {
    pub(crate) at_s: f64,
    pub(crate) action: FaultAction,
}

/// Execution records of engines, read just before they were killed.
pub(crate) type KilledEngineRecords = Vec<(EndpointId, Vec<ExecutedCompletion>)>;

/// Applies all faults at their times; returns the records of the engines that were killed.
pub(crate) fn inject_faults(
    cluster: &mut Cluster,
    clock: &SharedClock,
    start: Instant,
    faults: &[Fault],
) -> Result<KilledEngineRecords> {
    let mut records = Vec::new();
    for fault in faults {
        let due = start + Duration::from_secs_f64(fault.at_s);
        let now = clock.now();
        if now < due {
            block_on(clock.sleep(due.since(now)));
        }
        apply(cluster, fault.action, &mut records)?;
    }
    Ok(records)
}

fn apply(
    cluster: &mut Cluster,
    action: FaultAction,
    records: &mut KilledEngineRecords,
) -> Result<()> {
    match action {
        FaultAction::Slow(engine, factor) => {
            send_commands(cluster, engine, &[EngineCommand::Slow(factor)])
        }
        FaultAction::Crash(engine, active) => {
            let cut = active.then_some(0);
            send_commands(
                cluster,
                engine,
                &[EngineCommand::Fail(active), EngineCommand::CutAfter(cut)],
            )
        }
        FaultAction::Hang(engine, active) => {
            send_commands(cluster, engine, &[EngineCommand::Hang(active)])
        }
        FaultAction::PlatformDown(down) => set_platform_faults(
            cluster,
            PlatformFaults {
                down,
                ..PlatformFaults::default()
            },
        ),
        FaultAction::PlatformSlow(delay_ms) => set_platform_faults(
            cluster,
            PlatformFaults {
                delay_ms,
                ..PlatformFaults::default()
            },
        ),
        FaultAction::LoseResponse(service) => {
            let services = cluster.services();
            let addr = services[service % services.len()].addr;
            cluster.control_endpoint(addr, &ServiceCommand::LoseAnswers(1))
        }
        FaultAction::RestartEntry(vm) => {
            let vm = vm_at(cluster, vm);
            let status = vm.entry.stop()?;
            ensure!(
                status.success(),
                "the entry of {} did not stop cleanly",
                vm.vm
            );
            vm.restart_entry()
        }
        FaultAction::PauseEntry(vm, active) => {
            let signal = if active { Signal::STOP } else { Signal::CONT };
            vm_at(cluster, vm).entry.signal(signal)
        }
        FaultAction::RestartSteward(vm) => {
            let platform = cluster.platform_addr;
            let vm = vm_at(cluster, vm);
            if let Some(steward) = &mut vm.steward {
                steward.kill()?;
            }
            vm.start_steward(platform, "")
        }
        FaultAction::NoticeEviction => {
            cluster.control_platform(&PlatformCommand::Leave(eviction_targets(cluster)))
        }
        FaultAction::Evict => evict_cheap_endpoints(cluster, records),
    }
}

fn set_platform_faults(cluster: &Cluster, faults: PlatformFaults) -> Result<()> {
    cluster.control_platform(&PlatformCommand::Fault(faults))
}

fn vm_at(cluster: &mut Cluster, index: usize) -> &mut ClusterVm {
    let count = cluster.vms.len();
    &mut cluster.vms[index % count]
}

fn send_commands(cluster: &Cluster, engine: usize, commands: &[EngineCommand]) -> Result<()> {
    let engines = cluster.engines();
    let addr = engines[engine % engines.len()].addr;
    commands
        .iter()
        .try_for_each(|c| cluster.control_endpoint(addr, c))
}

/// Cheap endpoints of the first availability zone, which an eviction removes.
fn eviction_targets(cluster: &Cluster) -> Vec<EndpointId> {
    let zone = cluster.endpoints.first().map(|(zone, _)| zone.clone());
    let all = cluster.endpoints.iter();
    all.filter(|(z, e)| e.cheap && Some(z) == zone.as_ref())
        .map(|(_, e)| e.id.clone())
        .collect()
}

fn evict_cheap_endpoints(cluster: &mut Cluster, records: &mut KilledEngineRecords) -> Result<()> {
    let ids = eviction_targets(cluster);
    for endpoint in cluster
        .engines()
        .into_iter()
        .filter(|e| ids.contains(&e.id))
    {
        records.push((endpoint.id, cluster.http.get(endpoint.addr, "/record")?));
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
