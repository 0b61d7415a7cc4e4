//! The topics that the system keeps in the platform's log.

use {ports::PlatformFuture, std::time::Duration};

/// A topic of the system's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The duty lease and sealed usage windows.
    Duty,
    /// Usage counts of each VM.
    Usage,
}

impl Topic {
    /// Name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Duty => "celerystage.duty",
            Self::Usage => "celerystage.usage",
        }
    }
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record has this offset.
    Appended(u64),
    /// The condition did not hold: nothing was appended, and the topic ends here.
    Conflict(u64),
}

/// Records read at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecords {
    /// Oldest offset that is kept.
    pub first: u64,
    /// Offset after the newest record.
    pub end: u64,
    /// Offset and content of records from the asked offset, or from `first` if that is later.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// Reads and appends records.
pub trait SharedLog: Send + Sync {
    /// Appends a record; with `at`, only if the topic ends at that offset. After an error with
    /// verdict `may_have_run` the record may be appended, even seconds later.
    fn append<'a>(
        &'a self,
        topic: Topic,
        record: &'a [u8],
        at: Option<u64>,
    ) -> PlatformFuture<'a, AppendOutcome>;

    /// Reads records from offset `from` on; waits up to `wait` when there are none yet.
    fn read(&self, topic: Topic, from: u64, wait: Duration) -> PlatformFuture<'_, LogRecords>;
}
