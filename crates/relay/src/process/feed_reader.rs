//! Reads the platform's feeds of configuration and endpoints.

use {
    super::Node,
    crate::{
        adapter::{Feed, FeedChange, FeedKind, FeedUpdate},
        endpoints::ReadSpan,
    },
    clock::Instant,
    compact_str::CompactString,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    types::{EndpointId, LogPosition},
};

/// Time that a read waits for changes. Together with the timeout of the call and one more read it
/// stays below the shortest bound for applying a change, also for the VMs that read through this
/// one.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// Pause after a read that returned changes: many entries often change at once, and the next read
/// returns them together.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Shortest pause after a failed read; up to half as much jitter is added.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed read of the configuration: the bound for applying one only begins
/// seconds after the platform's return.
const MAX_CONFIG_PAUSE: Duration = Duration::from_millis(1_200);
/// Longest pause after a failed read of the endpoints. The grace period of lapsed entries begins
/// with the last failed read, and running endpoints need most of it to be listed again.
const MAX_ENDPOINTS_PAUSE: Duration = Duration::from_millis(200);
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;
/// Longest cause in a log line about an entry that can't be decoded, in characters.
const MAX_LOGGED_CAUSE: usize = 200;
/// Most keys whose unreadable entries are logged; further ones are only counted.
const MAX_LOGGED_KEYS: usize = 32;
/// Interval between two checks of whether this VM has to read the platform.
const ROLE_POLL: Duration = Duration::from_millis(100);
/// Age from which the state of a VM counts as stale: covers a read that waits for changes, and a
/// call that is fifty times slower than usual.
pub(super) const MAX_FRESH_AGE: Duration = Duration::from_millis(1_000);

/// When each feed was last read successfully.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    config: Option<Instant>,
    endpoints: Option<ReadSpan>,
}

impl Freshness {
    /// Time since the last successful read of a feed.
    pub(crate) fn age(&self, now: Instant, kind: FeedKind) -> Duration {
        let read = match kind {
            FeedKind::Configuration => self.config,
            FeedKind::Endpoints => self.endpoints.map(|span| span.last),
        };
        read.map_or(Duration::MAX, |at| now.since(at))
    }

    fn mark_read(&mut self, now: Instant, kind: FeedKind) {
        match kind {
            FeedKind::Configuration => self.config = self.config.max(Some(now)),
            FeedKind::Endpoints => {
                self.endpoints = Some(ReadSpan::extended(self.endpoints, now));
            }
        }
    }

    /// Records that another VM's state was received, whose reads have the given ages in
    /// milliseconds.
    pub(crate) fn mark_received(&mut self, now: Instant, ages: [u64; 2]) {
        for (kind, age) in FeedKind::ALL.into_iter().zip(ages) {
            let read = now
                .nanos()
                .saturating_sub(age.saturating_mul(NANOS_PER_MILLI));
            self.mark_read(Instant::from_nanos(read), kind);
        }
    }

    /// The time in which this VM has read the endpoints without a longer gap.
    pub(crate) fn endpoints_span(&self) -> Option<ReadSpan> {
        self.endpoints
    }
}

/// Reads one feed of the platform and applies its changes.
struct FeedReader {
    node: Arc<Node>,
    feed: Arc<dyn Feed>,
    kind: FeedKind,
    /// Whether the last read succeeded.
    available: bool,
    /// Pause after the next failed read.
    retry_pause: Duration,
    /// Keys whose entries were logged as unreadable.
    logged_keys: BTreeSet<CompactString>,
}

/// Reads a feed until it is dropped, whenever this VM has to read the platform.
pub(super) async fn follow_feed(node: Arc<Node>, feed: Arc<dyn Feed>, kind: FeedKind) {
    let mut reader = FeedReader {
        node: node.clone(),
        feed,
        kind,
        available: true,
        retry_pause: MIN_RETRY_PAUSE,
        logged_keys: BTreeSet::new(),
    };
    let mut from = None;
    loop {
        if !node.reads_platform(node.clock.now()) {
            from = None;
            node.clock.sleep(ROLE_POLL).await;
            continue;
        }
        from = match from {
            None => reader.read_snapshot().await,
            Some(from) => reader.read_changes(from).await,
        };
    }
}

impl FeedReader {
    /// Reads a snapshot; returns the position to follow the feed from.
    async fn read_snapshot(&mut self) -> Option<LogPosition> {
        let sent = self.node.clock.now();
        match self.feed.snapshot(self.kind).await {
            Ok((changes, next)) => {
                self.record_success();
                let listed: Vec<_> = changes
                    .iter()
                    .filter_map(|c| match c {
                        FeedChange::Listed(endpoint) => Some(endpoint.id.clone()),
                        _ => None,
                    })
                    .collect();
                if self.kind == FeedKind::Configuration {
                    self.replace_evacuations(&changes, next);
                }
                self.apply_changes(changes);
                if self.kind == FeedKind::Endpoints {
                    let absent = self.node.absent_endpoints(&listed);
                    absent
                        .iter()
                        .for_each(|id| self.node.remove_absent_endpoint(id));
                    self.node.registry.lock().read_applied();
                    self.node.observe_list(sent);
                }
                Some(next)
            }
            Err(e) => {
                self.back_off(sent, &e.to_string()).await;
                None
            }
        }
    }

    /// Reads changes; returns the position to read from next, or `None` if a new snapshot is needed.
    async fn read_changes(&mut self, from: LogPosition) -> Option<LogPosition> {
        let sent = self.node.clock.now();
        // During an outage a read that doesn't wait fails sooner.
        let wait = if self.available {
            MAX_WAIT
        } else {
            Duration::ZERO
        };
        match self.feed.follow(self.kind, from, wait).await {
            Ok(FeedUpdate::Changes(changes, next)) => {
                self.record_success();
                let changed = !changes.is_empty();
                self.apply_changes(changes);
                if self.kind == FeedKind::Configuration {
                    self.node.advance_evacuations(next);
                }
                if self.kind == FeedKind::Endpoints {
                    self.node.registry.lock().read_applied();
                    // A read that waits in vain tells that nothing has changed until its end.
                    let read = if changed { sent } else { sent + wait };
                    self.node.observe_list(read.min(self.node.clock.now()));
                }
                if changed {
                    self.node.clock.sleep(BATCH_PAUSE).await;
                }
                Some(next)
            }
            Ok(FeedUpdate::Trimmed) => {
                log::warn!(feed = self.kind.as_str(), from:% = from; "changes are no longer kept, reading a snapshot");
                None
            }
            Err(e) => {
                self.back_off(sent, &e.to_string()).await;
                Some(from)
            }
        }
    }

    /// Records a successful read, before its changes are applied.
    fn record_success(&mut self) {
        let now = self.node.clock.now();
        self.retry_pause = MIN_RETRY_PAUSE;
        self.node.freshness.lock().mark_read(now, self.kind);
        if !self.available {
            self.available = true;
            log::info!(feed = self.kind.as_str(); "platform feed available again");
        }
        if self.kind == FeedKind::Endpoints {
            let mut registry = self.node.registry.lock();
            let failing_since = registry.failing_since();
            let read_by_others = failing_since
                .is_some_and(|since| self.node.peers.lock().platform_read_since(since, now));
            registry.read_succeeded(now, read_by_others);
            if let Some(since) = failing_since {
                log::info!(
                    failing_ms = now.since(since).as_millis(), read_by_others = read_by_others;
                    "endpoints read after failed reads"
                );
            }
        }
    }

    /// Records a failed read that was sent at `sent`, and pauses.
    async fn back_off(&mut self, sent: Instant, cause: &str) {
        let feed = self.kind.as_str();
        metrics::counter!("celerystage_feed_failures_total", "feed" => feed).increment(1);
        if self.available {
            self.available = false;
            log::warn!(feed = feed, cause = cause; "platform feed unavailable");
        }
        if self.kind == FeedKind::Endpoints {
            self.node.registry.lock().read_failed(sent);
        }
        let jitter = self.retry_pause.mul_f64(fastrand::f64() / 2.0);
        self.node.clock.sleep(self.retry_pause + jitter).await;
        let max_pause = match self.kind {
            FeedKind::Configuration => MAX_CONFIG_PAUSE,
            FeedKind::Endpoints => MAX_ENDPOINTS_PAUSE,
        };
        self.retry_pause = (self.retry_pause * 2).min(max_pause);
    }

    fn apply_changes(&mut self, changes: Vec<FeedChange>) {
        for change in changes {
            match change {
                FeedChange::Config(config) => {
                    self.node.apply_config(config);
                }
                FeedChange::Listed(endpoint) => self.node.upsert_endpoint(endpoint),
                FeedChange::Unlisted(id) => self.node.remove_endpoint(&id),
                FeedChange::Evacuated(zone) => self.node.set_evacuated(zone, true),
                FeedChange::Restored(zone) => self.node.set_evacuated(zone, false),
                FeedChange::Undecodable(key, cause) => {
                    self.remove_undecodable(&key);
                    self.log_undecodable(key, &cause);
                }
            }
        }
    }

    /// Applies the evacuated zones of a snapshot that was read up to `at`.
    fn replace_evacuations(&self, changes: &[FeedChange], at: LogPosition) {
        let mut zones = BTreeSet::new();
        for change in changes {
            match change {
                FeedChange::Evacuated(zone) => zones.insert(zone.clone()),
                FeedChange::Restored(zone) => zones.remove(zone),
                FeedChange::Config(_)
                | FeedChange::Listed(_)
                | FeedChange::Unlisted(_)
                | FeedChange::Undecodable(..) => false,
            };
        }
        self.node.replace_evacuations(at, &zones);
    }

    /// Removes the endpoint that an entry named before it became unreadable.
    fn remove_undecodable(&self, key: &str) {
        let Ok(id) = key.parse::<EndpointId>() else {
            return;
        };
        let listed = self.node.registry.lock().get(&id).is_some();
        if listed && self.kind == FeedKind::Endpoints {
            self.node.remove_endpoint(&id);
        }
    }

    /// Logs an entry that can't be decoded, once for each key: it may be written again with each heartbeat.
    fn log_undecodable(&mut self, key: CompactString, cause: &str) {
        let feed = self.kind.as_str();
        metrics::counter!("celerystage_undecodable_entries_total", "feed" => feed).increment(1);
        if self.logged_keys.len() >= MAX_LOGGED_KEYS || self.logged_keys.contains(&key) {
            return;
        }
        let cause: String = cause.chars().take(MAX_LOGGED_CAUSE).collect();
        log::warn!(feed = feed, key = key.as_str(), cause = cause.as_str(); "entry skipped: cannot be decoded");
        self.logged_keys.insert(key);
    }
}
