//! Faults at given times of a round.

use {
    async_io::block_on,
    clock::{SharedClock, Stamp},
    eyre::Result,
    harness::Cluster,
    standin::{
        engine::{Control, Executed},
        platform::Control as PlatformControl,
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
pub(crate) type LostRecords = Vec<(EndpointId, Vec<Executed>)>;

/// Carries out all faults at their times.
pub(crate) fn inject(
    cluster: &mut Cluster,
    clock: &SharedClock,
    start: Stamp,
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
        Act::Slow(engine, factor) => tell(cluster, engine, &[Control::Slow(factor)]),
        Act::Crash(engine, on) => {
            let cut = on.then_some(0);
            tell(
                cluster,
                engine,
                &[Control::Fail(on), Control::CutAfter(cut)],
            )
        }
        Act::Hang(engine, on) => tell(cluster, engine, &[Control::Hang(on)]),
        Act::Notice => cluster.control(&PlatformControl::Leave(evicted(cluster))),
        Act::Evict => evict(cluster, lost),
    }
}

fn tell(cluster: &Cluster, engine: usize, controls: &[Control]) -> Result<()> {
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
    cluster.control(&PlatformControl::Remove(ids.clone()))?;
    for endpoint in cluster
        .engines()
        .into_iter()
        .filter(|e| ids.contains(&e.id))
    {
        cluster.kill_backend(endpoint.addr)?;
    }
    Ok(())
}
