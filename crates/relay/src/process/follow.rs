//! Follows the platform's feeds.

use {
    super::Node,
    crate::adapter::{Feed, FeedChange, FeedKind, FeedUpdate},
    clock::Stamp,
    std::{sync::Arc, time::Duration},
};

/// Time that a read waits for changes: with the call's own limit and one more read
/// it stays below the shortest bound of a change, also for those who follow this VM.
const WAIT: Duration = Duration::from_millis(600);
/// Pause after news: many entries change at once, and one read brings them all.
const PAUSE: Duration = Duration::from_millis(150);
/// Pause after a failed read: first and longest, with up to half as much jitter. All bounds of changes
/// begin seconds after the platform's return.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Pause between two looks at whether this VM reads the platform.
const LOOK: Duration = Duration::from_millis(100);
/// Age from which what a VM read counts as old: a waiting read, and a call that is fifty times slower
/// than usual.
pub(super) const FRESH: Duration = Duration::from_millis(1_000);

/// When the feeds were last read.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    config: Option<Stamp>,
    endpoints: Option<Stamp>,
}

impl Freshness {
    /// Time since a feed was read.
    pub(crate) fn age(&self, now: Stamp, kind: FeedKind) -> Duration {
        let read = match kind {
            FeedKind::Configuration => self.config,
            FeedKind::Endpoints => self.endpoints,
        };
        read.map_or(Duration::MAX, |at| now.since(at))
    }

    fn read(&mut self, now: Stamp, kind: FeedKind) {
        match kind {
            FeedKind::Configuration => self.config = Some(now),
            FeedKind::Endpoints => self.endpoints = Some(now),
        }
    }
}

/// One feed of the platform, and whether it can be read at present.
struct Reader {
    node: Arc<Node>,
    feed: Arc<dyn Feed>,
    kind: FeedKind,
    reached: bool,
    pause: Duration,
}

/// Follows a feed until it is dropped, whenever this VM is to read the platform.
pub(super) async fn follow(node: Arc<Node>, feed: Arc<dyn Feed>, kind: FeedKind) {
    let mut reader = Reader {
        node: node.clone(),
        feed,
        kind,
        reached: true,
        pause: FAILED_PAUSE,
    };
    let mut from = None;
    loop {
        if !node.reads_platform(node.clock.now()) {
            from = None;
            node.clock.sleep(LOOK).await;
            continue;
        }
        from = match from {
            None => reader.begin().await,
            Some(from) => reader.go_on(from).await,
        };
    }
}

impl Reader {
    /// Reads everything; returns the offset to follow from.
    async fn begin(&mut self) -> Option<u64> {
        match self.feed.snapshot(self.kind).await {
            Ok((changes, next)) => {
                self.read();
                let listed: Vec<_> = changes
                    .iter()
                    .filter_map(|c| match c {
                        FeedChange::Listed(endpoint) => Some(endpoint.id.clone()),
                        _ => None,
                    })
                    .collect();
                take_in(&self.node, changes);
                if self.kind == FeedKind::Endpoints {
                    let missing = self.node.missing(&listed);
                    missing.iter().for_each(|id| self.node.unlist(id));
                    self.node.registry.lock().read_applied();
                }
                Some(next)
            }
            Err(e) => {
                self.failed(&e.to_string()).await;
                None
            }
        }
    }

    /// Reads changes; returns the offset to follow from, or nothing when everything has to be read again.
    async fn go_on(&mut self, from: u64) -> Option<u64> {
        match self.feed.follow(self.kind, from, WAIT).await {
            Ok(FeedUpdate::Changes(changes, next)) => {
                self.read();
                let changed = !changes.is_empty();
                take_in(&self.node, changes);
                if self.kind == FeedKind::Endpoints {
                    self.node.registry.lock().read_applied();
                }
                if changed {
                    self.node.clock.sleep(PAUSE).await;
                }
                Some(next)
            }
            Ok(FeedUpdate::Trimmed) => {
                log::warn!(feed = self.kind.as_str(), from = from; "changes are no longer kept, reading everything");
                None
            }
            Err(e) => {
                self.failed(&e.to_string()).await;
                Some(from)
            }
        }
    }

    fn read(&mut self) {
        let now = self.node.clock.now();
        self.pause = FAILED_PAUSE;
        self.node.fresh.lock().read(now, self.kind);
        if !self.reached {
            self.reached = true;
            log::info!(feed = self.kind.as_str(); "platform's feed regained");
        }
        if self.kind == FeedKind::Endpoints {
            self.node.registry.lock().read_succeeded(now);
        }
    }

    async fn failed(&mut self, cause: &str) {
        let feed = self.kind.as_str();
        metrics::counter!("celerystage_feed_failures_total", "feed" => feed).increment(1);
        if self.reached {
            self.reached = false;
            log::warn!(feed = feed, cause = cause; "platform's feed lost");
        }
        if self.kind == FeedKind::Endpoints {
            self.node.registry.lock().read_failed(self.node.clock.now());
        }
        let jitter = self.pause.mul_f64(fastrand::f64() / 2.0);
        self.node.clock.sleep(self.pause + jitter).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

fn take_in(node: &Node, changes: Vec<FeedChange>) {
    for change in changes {
        match change {
            FeedChange::Config(config) => {
                node.apply(config);
            }
            FeedChange::Listed(endpoint) => node.list(endpoint),
            FeedChange::Unlisted(id) => node.unlist(&id),
            FeedChange::Undecodable(key, cause) => {
                log::warn!(key = key.as_str(), cause = cause.as_str(); "entry skipped");
            }
        }
    }
}
