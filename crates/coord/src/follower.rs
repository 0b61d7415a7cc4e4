//! Reads a stream of the log from an offset on.

use {
    clock::SharedClock,
    ports::{Log, PlatformError, Record, Stream},
    std::{sync::Arc, time::Duration},
};

/// Longest time that the platform is asked to hold a read without records.
const WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read: first and longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Records read at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Batch {
    /// Records from the asked offset on, in order, without a gap.
    Records(Vec<Record>),
    /// The records from the asked offset on are no longer kept; the oldest kept offset is given.
    Lost(u64),
}

/// Follows one stream.
pub struct Follower {
    log: Arc<dyn Log>,
    clock: SharedClock,
    stream: Stream,
    next: u64,
    pause: Duration,
    max_pause: Duration,
}

impl Follower {
    /// Follows `stream` from offset `next` on.
    pub fn new(log: Arc<dyn Log>, clock: SharedClock, stream: Stream, next: u64) -> Self {
        Self {
            log,
            clock,
            stream,
            next,
            pause: FIRST_PAUSE,
            max_pause: MAX_PAUSE,
        }
    }

    /// Sets the longest pause after a failed read.
    pub fn with_max_backoff(mut self, pause: Duration) -> Self {
        self.max_pause = pause;
        self
    }

    /// Offset of the record to be read next.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Goes on at another offset.
    pub fn seek(&mut self, next: u64) {
        self.next = next;
    }

    /// Waits for the next records. After a failed read it pauses, longer after each, with jitter.
    pub async fn next_batch(&mut self) -> Result<Batch, PlatformError> {
        match self.log.read(self.stream, self.next, WAIT).await {
            Ok(page) if page.first > self.next => Ok(Batch::Lost(page.first)),
            Ok(page) => {
                self.pause = FIRST_PAUSE;
                Ok(Batch::Records(self.in_order(page.records)))
            }
            Err(e) => {
                let jitter = 0.5 + fastrand::f64();
                self.clock.sleep(self.pause.mul_f64(jitter)).await;
                self.pause = (self.pause * 2).min(self.max_pause);
                Err(e)
            }
        }
    }

    /// Keeps the records that follow on from the last one, and drops what a stale answer repeats.
    fn in_order(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut kept = Vec::with_capacity(records.len());
        for record in records {
            if record.offset == self.next {
                self.next += 1;
                kept.push(record);
            }
        }
        kept
    }
}
