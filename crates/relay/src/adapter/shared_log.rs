//! The topics that the routers keep in the platform's shared log.

use {
    compact_str::CompactString,
    ports::PlatformFuture,
    std::time::Duration,
    types::{Era, LogPosition},
};

/// A topic written by the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The lease of the duties, and sealed usage windows.
    Duty,
    /// Usage counts of each VM.
    Usage,
    /// The releases of each service. A compacted topic: the newest record of each key never expires.
    Releases,
    /// The log of the origins of streams. A compacted topic.
    Origins,
}

impl Topic {
    /// Name of the topic in the platform's log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Duty => "celerystage.duty",
            Self::Usage => "celerystage.usage",
            Self::Releases => "keyed.celerystage.releases",
            Self::Origins => "keyed.celerystage.origins",
        }
    }
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this position.
    Appended(LogPosition),
    /// The topic did not end at the expected offset, so nothing was appended; it ends at this one.
    Conflict(LogPosition),
}

/// Records of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecords {
    /// Era of the store.
    pub era: Era,
    /// Oldest offset that the log still keeps.
    pub first: u64,
    /// Offset after the newest record.
    pub end: u64,
    /// Offset and content of the records from the requested offset on, or from `first` if that is
    /// later.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// The newest records of a compacted topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecords {
    /// Keys and their values.
    pub records: Vec<(CompactString, Vec<u8>)>,
    /// Position after the newest record.
    pub end: LogPosition,
}

/// The platform's append-only log.
pub trait SharedLog: Send + Sync {
    /// Appends a record; with `at`, only if the topic ends at that offset. After an error with
    /// verdict `may_have_run` the record may still be appended, even seconds later.
    fn append<'a>(
        &'a self,
        topic: Topic,
        record: &'a [u8],
        at: Option<u64>,
    ) -> PlatformFuture<'a, AppendOutcome>;

    /// Reads records from offset `from` on; waits up to `wait` if there are none yet.
    fn read(&self, topic: Topic, from: u64, wait: Duration) -> PlatformFuture<'_, LogRecords>;

    /// Writes the value of a key of a compacted topic if the topic ends at `at`. Fails like `append`.
    fn put<'a>(
        &'a self,
        topic: Topic,
        key: &'a str,
        value: &'a [u8],
        at: u64,
    ) -> PlatformFuture<'a, AppendOutcome>;

    /// Writes the values of keys of a compacted topic, all or none of them. An empty value removes its key. Fails like `append`.
    fn put_all<'a>(
        &'a self,
        topic: Topic,
        records: &'a [(CompactString, Vec<u8>)],
    ) -> PlatformFuture<'a, ()>;

    /// Reads the newest record of each key of a compacted topic; none if nothing was ever written.
    fn newest(&self, topic: Topic) -> PlatformFuture<'_, KeyedRecords>;
}
