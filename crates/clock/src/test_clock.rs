//! A clock that stands still until it is advanced.

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
    moved: Event,
}

/// A paused clock for tests; time passes only through [`TestClock::advance`].
#[derive(Debug, Clone, Default)]
pub struct TestClock {
    shared: Arc<Shared>,
}

impl TestClock {
    /// Moves time forward and wakes the timers that are due.
    pub fn advance(&self, span: Duration) {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        self.shared.nanos.fetch_add(nanos, Ordering::SeqCst);
        self.shared.moved.notify(usize::MAX);
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
                let moved = clock.shared.moved.listen();
                if clock.now() >= due {
                    return;
                }
                moved.await;
            }
        })
    }
}
