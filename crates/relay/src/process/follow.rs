//! Follows the platform's feeds.

use {
    super::Node,
    crate::port::{Change, Feed, FeedKind, News},
    std::{sync::Arc, time::Duration},
};

/// Time that a read waits for changes: with the call's own limit it ends within three seconds, the
/// shortest span after which a VM whose connections went silent is expected to act again.
const WAIT: Duration = Duration::from_millis(1_800);
/// Pause between reads of endpoints, whose heartbeats would else end each read at once; a third of
/// the shortest drain bound.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(700);
/// Pause after a failed read, with as much jitter.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// Whether a feed can be read at present.
struct Reach {
    kind: FeedKind,
    reached: bool,
}

impl Reach {
    fn set(&mut self, reached: bool, cause: &str) {
        if self.reached == reached {
            return;
        }
        self.reached = reached;
        let feed = self.kind.as_str();
        if reached {
            log::info!(feed = feed; "platform's feed regained");
        } else {
            log::warn!(feed = feed, cause = cause; "platform's feed lost");
        }
    }
}

/// Follows a feed until it is dropped.
pub(super) async fn follow(node: Arc<Node>, feed: Arc<dyn Feed>, kind: FeedKind) {
    let mut reach = Reach {
        kind,
        reached: true,
    };
    let mut from = None;
    loop {
        from = match from {
            None => begin(&node, &*feed, &mut reach).await,
            Some(from) => go_on(&node, &*feed, &mut reach, from).await,
        };
    }
}

/// Reads everything; returns the offset to follow from.
async fn begin(node: &Node, feed: &dyn Feed, reach: &mut Reach) -> Option<u64> {
    match feed.snapshot(reach.kind).await {
        Ok((changes, next)) => {
            reached(node, reach);
            let listed: Vec<_> = changes
                .iter()
                .filter_map(|c| match c {
                    Change::Listed(endpoint) => Some(endpoint.id.clone()),
                    _ => None,
                })
                .collect();
            take_in(node, changes);
            if reach.kind == FeedKind::Endpoints {
                node.prune(Some(&listed));
            }
            Some(next)
        }
        Err(e) => {
            failed(node, reach, &e.to_string()).await;
            None
        }
    }
}

/// Reads changes; returns the offset to follow from, or nothing when everything has to be read again.
async fn go_on(node: &Node, feed: &dyn Feed, reach: &mut Reach, from: u64) -> Option<u64> {
    match feed.follow(reach.kind, from, WAIT).await {
        Ok(News::Changes(changes, next)) => {
            reached(node, reach);
            take_in(node, changes);
            if reach.kind == FeedKind::Endpoints {
                node.prune(None);
                node.clock.sleep(ENDPOINT_PAUSE).await;
            }
            Some(next)
        }
        Ok(News::Lost) => {
            log::warn!(feed = reach.kind.as_str(), from = from; "changes are no longer kept, reading everything");
            None
        }
        Err(e) => {
            failed(node, reach, &e.to_string()).await;
            Some(from)
        }
    }
}

fn reached(node: &Node, reach: &mut Reach) {
    reach.set(true, "");
    if reach.kind == FeedKind::Endpoints {
        node.registry.lock().reached(node.clock.now());
    }
}

async fn failed(node: &Node, reach: &mut Reach, cause: &str) {
    reach.set(false, cause);
    metrics::counter!("celerystage_feed_failures_total", "feed" => reach.kind.as_str())
        .increment(1);
    if reach.kind == FeedKind::Endpoints {
        node.registry.lock().unreachable();
    }
    let jitter = FAILED_PAUSE.mul_f64(fastrand::f64());
    node.clock.sleep(FAILED_PAUSE + jitter).await;
}

fn take_in(node: &Node, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Catalog(catalog) => {
                node.apply(catalog);
            }
            Change::Listed(endpoint) => node.list(endpoint),
            Change::Unlisted(id) => node.unlist(&id),
            Change::Unreadable(key, cause) => {
                log::warn!(key = key.as_str(), cause = cause.as_str(); "entry skipped");
            }
        }
    }
}
