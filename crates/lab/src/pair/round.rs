//! One round: its load and faults on a running system, and what was seen.

use {
    super::{Fault, fault::inject},
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

/// Sends a load while faults happen, and reads the stand-ins' records afterwards.
pub(crate) fn run_round(
    cluster: &mut Cluster,
    plan: &LoadPlan,
    faults: &[Fault],
) -> Result<RoundObservations> {
    let clock = SystemClock::shared();
    let ex = Arc::new(Executor::new());
    let driver = Driver::new(clock.clone(), ex.clone()).with_failover();
    let start = clock.now();
    let (quit, helper_end) = bounded::<()>(1);
    let (samples, lost) = thread::scope(|scope| {
        let helper = ex.clone();
        scope.spawn(move || block_on(helper.run(helper_end.recv())).is_err());
        let injecting = scope.spawn(|| inject(cluster, &clock, start, faults));
        let samples = block_on(ex.run(driver.run(plan)));
        drop(quit);
        let lost = injecting
            .join()
            .map_err(|_| eyre!("the fault thread failed"))??;
        Ok::<_, Report>((samples, lost))
    })?;
    RoundObservations::read(cluster, samples, lost)
}
