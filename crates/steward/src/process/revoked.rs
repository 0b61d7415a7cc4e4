//! Puts keys that operators withdrew without the log on the log, when it can be reached.

use {
    clock::SharedClock,
    conf::{ApiKey, Change, Item, Op},
    mesh::Node,
    ports::{Log, Stream},
    std::{sync::Arc, time::Duration},
    types::{OperatorId, RequestId, Version},
};

/// Time between looks at the withdrawn keys.
const ROUND: Duration = Duration::from_secs(1);
/// Stewards spread their appends over this time; most find the key on the log by then.
const SPREAD: Duration = Duration::from_secs(4);
/// Name under which the changes are published.
const PUBLISHER: &str = "steward";

/// Publishes withdrawals until it is dropped.
pub(super) async fn publish_revoked(node: Arc<Node>, log: Arc<dyn Log>, clock: SharedClock) {
    loop {
        clock.sleep(ROUND).await;
        if unpublished(&node).is_empty() {
            continue;
        }
        clock.sleep(SPREAD.mul_f64(fastrand::f64())).await;
        for (base, key) in unpublished(&node) {
            if let Some(record) = withdrawal(base, key)
                && let Err(e) = log.append(Stream::Config, &record).await
            {
                log::warn!(error:% = e; "cannot put a withdrawn key on the log");
            }
        }
    }
}

/// Withdrawn keys that the configuration holds as valid, with their versions.
fn unpublished(node: &Node) -> Vec<(Version, ApiKey)> {
    let store = node.store();
    let config = store.config();
    let known = store.revoked().iter().filter_map(|digest| {
        let key = config.key(digest).filter(|k| !k.withdrawn)?;
        let entry = config.get(&Item::Key(key.clone()).key())?;
        Some((entry.version, key.clone()))
    });
    known.collect()
}

fn withdrawal(base: Version, key: ApiKey) -> Option<String> {
    let by: OperatorId = PUBLISHER.parse().ok()?;
    let item = Item::Key(ApiKey {
        withdrawn: true,
        ..key
    });
    let id = RequestId::from_bits(fastrand::u128(..));
    serde_json::to_string(&Change {
        id,
        by,
        ops: vec![Op::Put { base, item }],
    })
    .ok()
}
