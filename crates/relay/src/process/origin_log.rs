//! Writes this VM's part of the log of origins, and reads the log.

use {
    super::Node,
    crate::adapter::{KeyedRecords, SharedLog, Topic},
    clock::Instant,
    compact_str::{CompactString, format_compact},
    futures_lite::FutureExt,
    origins::{LogWrite, LoggedOrigins, OriginNews},
    ports::PlatformError,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::LogPosition,
};

/// Time for which a segment is kept after its last stream can no longer be resumed. It is longer than a VM adds streams to it.
const SEGMENT_MARGIN: Duration = Duration::from_secs(30);

/// Statuses with which the store says that it has done nothing.
const STATUS_BUSY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// Writes what has to be logged, until it is dropped.
pub(super) async fn write_origin_log(node: Arc<Node>, log: Arc<dyn SharedLog>) {
    loop {
        let added = node.origins_added.listen();
        let now = node.clock.now();
        let due = node.origins.lock().known.log_due();
        match due {
            None => added.await,
            Some(due) if now < due => {
                let wait = async { node.clock.sleep(due.since(now)).await };
                wait.or(added).await;
            }
            Some(_) => {
                let write = node.origins.lock().known.take_log_write(now);
                if let Some(write) = write {
                    write_segments(&node, &*log, write).await;
                }
            }
        }
    }
}

async fn write_segments(node: &Node, log: &dyn SharedLog, write: LogWrite) {
    let begun = node.clock.now();
    let streams: usize = write.segments.values().map(|s| s.origins.len()).sum();
    let records = write.segments.iter().map(|(segment, news)| {
        let key = format_compact!("{}/{}/{segment}", node.settings.vm, node.incarnation.0);
        let mut encoded = news.encode(usize::MAX)?;
        Ok::<_, rmp_serde::encode::Error>((key, encoded.pop().unwrap_or_default()))
    });
    let result = match records.collect::<Result<Vec<_>, _>>() {
        Ok(records) => log.put_all(Topic::Origins, &records).await,
        Err(e) => {
            log::error!(error:% = e; "cannot encode origins of streams");
            Err(PlatformError::InvalidResponse)
        }
    };
    let now = node.clock.now();
    let took_ms = now.since(begun).as_millis() as u64;
    match result {
        Ok(()) => {
            log::info!(streams = streams, segments = write.segments.len(), took_ms = took_ms; "origins logged");
            node.origins.lock().known.log_written();
        }
        Err(e) => {
            log::warn!(streams = streams, took_ms = took_ms, error:% = e; "origins may not have been logged");
            let is_certain = matches!(e, PlatformError::Refused(STATUS_BUSY | STATUS_UNAVAILABLE));
            node.origins.lock().known.log_failed(now, is_certain);
        }
    }
    node.origins_logged.notify(usize::MAX);
}

/// The segments of the log as of the last read. VMs that have ended leave theirs behind.
#[derive(Debug, Default)]
pub(super) struct SegmentWatch(BTreeMap<CompactString, Observed>);

/// A segment as it has been observed.
#[derive(Debug)]
struct Observed {
    value: Vec<u8>,
    since: Instant,
    /// Time for which its streams can be resumed.
    life: Duration,
}

impl SegmentWatch {
    /// Reads the log.
    pub(super) async fn read(
        &mut self,
        node: &Node,
        log: &dyn SharedLog,
    ) -> Result<(LoggedOrigins, LogPosition), PlatformError> {
        let KeyedRecords { records, end } = log.newest(Topic::Origins).await?;
        let now = node.clock.now();
        let mut logged = LoggedOrigins::default();
        let mut observed = BTreeMap::new();
        for (key, value) in records {
            let segment = match OriginNews::decode(&value) {
                Some(Ok(segment)) => segment,
                Some(Err(e)) => {
                    log::warn!(key:% = key, error:% = e; "segment of the log of origins skipped: cannot be decoded");
                    continue;
                }
                None => {
                    log::warn!(key:% = key; "segment of the log of origins skipped: unknown format");
                    continue;
                }
            };
            let life = segment.origins.iter().map(|o| o.ends_ms).max();
            let life = Duration::from_millis(u64::from(life.unwrap_or_default()));
            let known = self.0.remove(&key).filter(|known| known.value == value);
            let since = known.map_or(now, |known| known.since);
            observed.insert(key, Observed { value, since, life });
            logged.add(segment);
        }
        self.0 = observed;
        Ok((logged, end))
    }

    /// Deletes the segments whose streams can no longer be resumed.
    pub(super) async fn delete_unused(&mut self, node: &Node, log: &dyn SharedLog) {
        let now = node.clock.now();
        let is_unused = |o: &Observed| now.since(o.since) >= o.life + SEGMENT_MARGIN;
        let unused = self.0.iter().filter(|(_, observed)| is_unused(observed));
        let unused: Vec<_> = unused.map(|(key, _)| (key.clone(), Vec::new())).collect();
        if unused.is_empty() {
            return;
        }
        match log.put_all(Topic::Origins, &unused).await {
            Ok(()) => log::info!(segments = unused.len(); "segments of the log of origins deleted"),
            Err(e) => log::info!(error:% = e; "cannot delete segments of the log of origins"),
        }
    }
}
