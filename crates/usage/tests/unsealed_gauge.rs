//! The published number of requests that are not sealed yet.

mod world;

use {
    async_io::block_on,
    metrics::{
        Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit,
        with_local_recorder,
    },
    std::{
        sync::{Arc, atomic::AtomicU64},
        time::Duration,
    },
    world::{Simulation, locked},
};

const GAUGE: &str = "celerystage_usage_held_requests";

/// Keeps the value of one gauge.
struct GaugeRecorder(Arc<AtomicU64>);

impl Recorder for GaugeRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, _: &Key, _: &Metadata<'_>) -> Counter {
        Counter::noop()
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        if key.name() == GAUGE {
            Gauge::from_arc(self.0.clone())
        } else {
            Gauge::noop()
        }
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

/// Whoever adds up unsealed and reported requests counted those of a window twice from its report to the
/// next collection.
#[test]
fn requests_of_a_sealed_window_leave_the_gauge_before_their_report() {
    let mut simulation = Simulation::new();
    let recorder = GaugeRecorder(locked(&simulation.world).unsealed.clone());
    simulation.count(0, 0);
    simulation.count(1, 1);
    with_local_recorder(&recorder, || {
        block_on(simulation.sealers[0].run_round());
        simulation.clock.advance(Duration::from_secs(2));
        block_on(simulation.sealers[0].run_round());
    });
    let world = locked(&simulation.world);
    let reported: u64 = world.reports[0].lines.iter().map(|l| l.requests).sum();
    assert_eq!((world.reports.len(), reported), (1, 2));
    assert_eq!(world.reported_gauges, [0.0]);
}
