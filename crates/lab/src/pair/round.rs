//! Runs one round of load and faults against a running cluster.

use {
    super::{Fault, fault::inject_faults},
    crate::results::RoundObservations,
    async_channel::bounded,
    async_executor::Executor,
    async_io::block_on,
    clock::SystemClock,
    eyre::{Report, Result, eyre},
    harness::Cluster,
    load::{Driver, LoadPlan},
    std::{sync::Arc, thread},
};

/// Sends a load while faults are injected, then reads the stand-ins' execution records.
pub(crate) fn run_round(
    cluster: &mut Cluster,
    plan: &LoadPlan,
    faults: &[Fault],
) -> Result<RoundObservations> {
    let clock = SystemClock::shared();
    let ex = Arc::new(Executor::new());
    let driver = Driver::new(clock.clone(), ex.clone()).with_failover();
    let start = clock.now();
    let (stop_helper, helper_stopped) = bounded::<()>(1);
    let (samples, killed) = thread::scope(|scope| {
        let helper = ex.clone();
        scope.spawn(move || block_on(helper.run(helper_stopped.recv())).is_err());
        let injector = scope.spawn(|| inject_faults(cluster, &clock, start, faults));
        let samples = block_on(ex.run(driver.run(plan)));
        drop(stop_helper);
        let killed = injector
            .join()
            .map_err(|_| eyre!("the fault injection thread panicked"))??;
        Ok::<_, Report>((samples, killed))
    })?;
    RoundObservations::read(cluster, samples, killed)
}
