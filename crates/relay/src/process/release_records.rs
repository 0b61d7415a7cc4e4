//! Keeps the platform's records of the releases that serve, while this VM reads the platform.

use {
    super::{Node, origin_log::SegmentWatch, stream_origins::LogRead},
    crate::adapter::{AppendOutcome, KeyedRecords, SharedLog, Topic},
    clock::Instant,
    futures_lite::FutureExt,
    origins::{LedgerStep, ReleaseLedger, ReleaseRecord},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    types::{LogPosition, ServiceId},
};

/// Interval between two checks of whether there is something to read or to write.
const POLL: Duration = Duration::from_millis(200);
/// Upper bound of the random delay before a VM writes a record that other VMs would write too.
const WRITE_JITTER_MS: u64 = 300;

/// Keeps the records until it is dropped.
pub(super) async fn keep_releases(node: Arc<Node>, log: Arc<dyn SharedLog>) {
    let jitter = Duration::from_millis(fastrand::u64(..WRITE_JITTER_MS));
    let mut ledger = ReleaseLedger::new(jitter);
    let mut segments = SegmentWatch::default();
    loop {
        let asked = node.records_asked.listen();
        let poll = async { node.clock.sleep(POLL).await };
        poll.or(asked).await;
        let now = node.clock.now();
        node.set_logging(now);
        read_wanted_log(&node, &*log, &mut segments).await;
        let reads = !node.lifecycle.is_stopping() && reads_records(&node, now);
        node.origins.lock().known.set_reads_records(reads);
        if !reads {
            ledger.reset();
            continue;
        }
        let binding = node.binding(now);
        node.origins.lock().known.set_binding(binding);
        let mut step = next_step(&node, &mut ledger);
        while step != LedgerStep::Wait {
            match step {
                LedgerStep::Wait => {}
                LedgerStep::Read => {
                    read_records(&node, &*log, &mut ledger, &mut segments).await;
                    segments.delete_unused(&node, &*log).await;
                }
                LedgerStep::Write(service, record, at) => {
                    write_record(&node, &*log, &mut ledger, (service, record, at)).await;
                }
            }
            step = next_step(&node, &mut ledger);
        }
    }
}

/// Reads the log of origins if it was asked for since the start of the last read.
async fn read_wanted_log(node: &Node, log: &dyn SharedLog, segments: &mut SegmentWatch) {
    let begun = node.clock.now();
    let is_wanted = {
        let origins = node.origins.lock();
        let last = origins.log_read.as_ref().map(|read| read.begun);
        origins.log_wanted > last
    };
    if !is_wanted {
        return;
    }
    match segments.read(node, log).await {
        Ok((logged, end)) => {
            let era = end.era;
            node.origins.lock().log_read = Some(LogRead { begun, era, logged });
            node.origins_learned.notify(usize::MAX);
        }
        Err(e) => log::info!(error:% = e; "cannot read the log of origins"),
    }
}

/// Whether this VM reads the records: as the reader of its zone, or once if it has read the endpoint list before it follows a
/// reader.
fn reads_records(node: &Node, now: Instant) -> bool {
    let follows = !node.peers.lock().readers(now).is_empty();
    node.reads_platform(now) || !follows && node.origins.lock().known.lacks_assignments()
}

fn next_step(node: &Node, ledger: &mut ReleaseLedger) -> LedgerStep {
    ledger.step(node.clock.now(), &node.origins.lock().known)
}

async fn read_records(
    node: &Node,
    log: &dyn SharedLog,
    ledger: &mut ReleaseLedger,
    segments: &mut SegmentWatch,
) {
    match log.newest(Topic::Releases).await {
        Ok(KeyedRecords { records, end }) => {
            let decoded = records.iter().filter_map(|(key, value)| decode(key, value));
            let records: BTreeMap<_, _> = decoded.collect();
            let is_news = ledger.position() != Some(end);
            for (service, record) in records.iter().filter(|_| is_news) {
                log::info!(service:% = service, releases:% = record, era = record.era.0, end:% = end; "releases read");
            }
            match segments.read(node, log).await {
                Ok((logged, log_end)) if log_end.era == end.era => ledger.set_logged(logged),
                Ok(_) => log::info!("the store has started a new era between two reads"),
                Err(e) => log::info!(error:% = e; "cannot read the log of origins"),
            }
            let now = node.clock.now();
            let has_answers = {
                let mut origins = node.origins.lock();
                ledger.apply(now, end, records, &mut origins.known);
                origins.known.has_answers()
            };
            notify_read(node);
            if has_answers {
                node.origins_due.notify(usize::MAX);
            }
        }
        Err(e) => {
            log::info!(error:% = e; "cannot read the records of releases");
            ledger.failed(node.clock.now());
        }
    }
}

/// Wakes streams that are held for the records, and VMs that receive their state from this one.
fn notify_read(node: &Node) {
    node.origins_learned.notify(usize::MAX);
    node.changed.notify(usize::MAX);
}

fn decode(key: &str, value: &[u8]) -> Option<(ServiceId, ReleaseRecord)> {
    let service = match key.parse() {
        Ok(service) => service,
        Err(e) => {
            log::warn!(key = key, error:% = e; "record of releases skipped: its key is no service");
            return None;
        }
    };
    match ReleaseRecord::decode(value) {
        Ok(record) => Some((service, record)),
        Err(e) => {
            log::warn!(key = key, error:% = e; "record of releases skipped: cannot be decoded");
            None
        }
    }
}

async fn write_record(
    node: &Node,
    log: &dyn SharedLog,
    ledger: &mut ReleaseLedger,
    (service, record, at): (ServiceId, ReleaseRecord, u64),
) {
    let bytes = match record.encode() {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(service:% = service, error:% = e; "cannot encode a record of releases");
            return ledger.failed(node.clock.now());
        }
    };
    match log.put(Topic::Releases, service.as_str(), &bytes, at).await {
        Ok(AppendOutcome::Appended(LogPosition { era, offset })) => {
            log::info!(service:% = service, releases:% = record, at = at; "releases recorded");
            let end = LogPosition {
                era,
                offset: offset + 1,
            };
            let now = node.clock.now();
            let mut origins = node.origins.lock();
            ledger.written(now, (service, record), end, &mut origins.known);
            drop(origins);
            notify_read(node);
        }
        Ok(AppendOutcome::Conflict(end)) => {
            log::info!(service:% = service, at = at, end:% = end; "releases not recorded: another record came first");
            ledger.conflicted(node.clock.now());
        }
        Err(e) => {
            log::warn!(service:% = service, error:% = e; "write of a record of releases failed, its outcome is unknown");
            ledger.failed(node.clock.now());
        }
    }
}
