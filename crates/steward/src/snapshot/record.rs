//! The record of a configuration snapshot.

use {
    conf::Config,
    coord::newest_records,
    ports::{Log, PlatformError, Record, Stream},
    serde::{Deserialize, Serialize},
    types::KeyDigest,
};

/// Newest records that are read; more than one, since some may be unreadable.
const MAX_RECORDS: u64 = 4;

/// A snapshot of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Snapshot {
    /// Digest of the configuration, to detect damaged records.
    pub(super) digest: KeyDigest,
    /// The configuration with its version.
    pub(super) config: Config,
}

impl Snapshot {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            digest: config.digest(),
            config: config.clone(),
        }
    }

    /// Decodes a record; `None` when it is malformed or its digest does not match.
    fn parse(record: &Record) -> Option<Config> {
        let snapshot: Self = serde_json::from_str(&record.data).ok()?;
        (snapshot.config.digest() == snapshot.digest).then_some(snapshot.config)
    }
}

/// Returns the configuration with the highest version among the newest snapshot records.
pub(crate) async fn newest_snapshot(log: &dyn Log) -> Result<Option<Config>, PlatformError> {
    let records = newest_records(log, Stream::Snapshots, MAX_RECORDS).await?;
    let configs = records.iter().filter_map(Snapshot::parse);
    Ok(configs.max_by_key(Config::version))
}
