//! The record of a snapshot.

use {
    conf::Config,
    coord::newest_records,
    ports::{Log, PlatformError, Record, Stream},
    serde::{Deserialize, Serialize},
    types::KeyDigest,
};

/// Newest records that are looked at; more than one in case some cannot be read.
const LOOK_BACK: u64 = 4;

/// A snapshot of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Snapshot {
    /// Digest of the configuration.
    pub(super) digest: KeyDigest,
    /// The configuration with its version.
    pub(super) config: Config,
}

impl Snapshot {
    pub(super) fn of(config: &Config) -> Self {
        Self {
            digest: config.digest(),
            config: config.clone(),
        }
    }

    fn parse(record: &Record) -> Option<Config> {
        let snapshot: Self = serde_json::from_str(&record.data).ok()?;
        (snapshot.config.digest() == snapshot.digest).then_some(snapshot.config)
    }
}

/// The snapshot with the highest version among the newest records.
pub(crate) async fn newest_snapshot(log: &dyn Log) -> Result<Option<Config>, PlatformError> {
    let records = newest_records(log, Stream::Snapshots, LOOK_BACK).await?;
    let configs = records.iter().filter_map(Snapshot::parse);
    Ok(configs.max_by_key(Config::version))
}
