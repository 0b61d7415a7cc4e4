//! Reads a stream of the log from an offset onwards.

use {
    clock::SharedClock,
    ports::{Log, PlatformError, Record, Stream},
    std::{sync::Arc, time::Duration},
};

/// Longest time that the platform is asked to hold a long-polling read.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// First backoff after a failed read, and the default of the longest one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Result of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the requested offset onwards, in order and without gaps.
    Records(Vec<Record>),
    /// The record at the requested offset is no longer kept; holds the oldest offset that is.
    Lost(u64),
}

/// Follows one stream of the log.
pub struct Follower {
    log: Arc<dyn Log>,
    clock: SharedClock,
    stream: Stream,
    next: u64,
    backoff: Duration,
    max_backoff: Duration,
}

impl Follower {
    /// Creates a follower of `stream` that starts at offset `next`.
    pub fn new(log: Arc<dyn Log>, clock: SharedClock, stream: Stream, next: u64) -> Self {
        Self {
            log,
            clock,
            stream,
            next,
            backoff: MIN_BACKOFF,
            max_backoff: MAX_BACKOFF,
        }
    }

    /// Sets the longest backoff after failed reads.
    pub fn with_max_backoff(mut self, backoff: Duration) -> Self {
        self.max_backoff = backoff;
        self
    }

    /// Returns the offset of the record to be read next.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Continues at another offset.
    pub fn seek(&mut self, next: u64) {
        self.next = next;
    }

    /// Waits for the next records. A failed read is followed by an exponential backoff with jitter
    /// before the error is returned.
    pub async fn read_next(&mut self) -> Result<ReadOutcome, PlatformError> {
        match self.log.read(self.stream, self.next, POLL_WAIT).await {
            Ok(page) if page.first > self.next => Ok(ReadOutcome::Lost(page.first)),
            Ok(page) => {
                self.backoff = MIN_BACKOFF;
                Ok(ReadOutcome::Records(self.in_order(page.records)))
            }
            Err(e) => {
                let jitter = 0.5 + fastrand::f64();
                self.clock.sleep(self.backoff.mul_f64(jitter)).await;
                self.backoff = (self.backoff * 2).min(self.max_backoff);
                Err(e)
            }
        }
    }

    /// Keeps the records that continue at the next offset, and drops those that a stale response
    /// repeats.
    fn in_order(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut in_order = Vec::with_capacity(records.len());
        for record in records {
            if record.offset == self.next {
                self.next += 1;
                in_order.push(record);
            }
        }
        in_order
    }
}
