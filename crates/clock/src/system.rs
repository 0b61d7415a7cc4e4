//! The operating system's clock.

use {
    super::{Clock, Instant, SharedClock, Sleep},
    async_io::Timer,
    rustix::time::{ClockId, clock_gettime},
    std::{sync::Arc, time::Duration},
};

/// The machine's boot-time clock, with timers of the async-io reactor.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl SystemClock {
    /// Creates a shared system clock.
    pub fn shared() -> SharedClock {
        Arc::new(Self)
    }
}

fn read_clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::default() + read_clock(ClockId::Boottime)
    }

    fn unix_time(&self) -> Duration {
        read_clock(ClockId::Realtime)
    }

    fn sleep(&self, span: Duration) -> Sleep {
        Box::pin(async move {
            Timer::after(span).await;
        })
    }
}
