//! A manually advanced clock for tests.

use {
    super::{Clock, Instant, Sleep},
    event_listener::Event,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

#[derive(Debug, Default)]
struct Shared {
    nanos: AtomicU64,
    advanced: Event,
}

/// A clock for tests. Its time changes only through [`TestClock::advance`].
#[derive(Debug, Clone, Default)]
pub struct TestClock {
    shared: Arc<Shared>,
}

impl TestClock {
    /// Advances the time and wakes the timers that are due.
    pub fn advance(&self, span: Duration) {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        self.shared.nanos.fetch_add(nanos, Ordering::SeqCst);
        self.shared.advanced.notify(usize::MAX);
    }
}

impl Clock for TestClock {
    fn now(&self) -> Instant {
        Instant::from_nanos(self.shared.nanos.load(Ordering::SeqCst))
    }

    fn unix_time(&self) -> Duration {
        Duration::from_nanos(self.now().nanos())
    }

    fn sleep(&self, span: Duration) -> Sleep {
        let due = self.now() + span;
        let clock = self.clone();
        Box::pin(async move {
            loop {
                let advanced = clock.shared.advanced.listen();
                if clock.now() >= due {
                    return;
                }
                advanced.await;
            }
        })
    }
}
