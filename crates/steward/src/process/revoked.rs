//! Publishes key withdrawals on the log. Operators can withdraw a key over the mesh alone while the
//! log is unreachable; the withdrawal is appended once it is reachable again.

use {
    clock::SharedClock,
    conf::{ApiKey, Change, Item, Op},
    mesh::MeshNode,
    ports::{Log, Stream},
    std::{sync::Arc, time::Duration},
    types::{OperatorId, RequestId, Version},
};

/// Interval between checks for unpublished withdrawals.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the random delay before an append: by then most stewards find that another one has
/// published the withdrawal.
const MAX_JITTER: Duration = Duration::from_secs(4);
/// Operator name in the published changes.
const PUBLISHER: &str = "steward";

/// Publishes withdrawals on the log until it is dropped.
pub(super) async fn publish_revoked(node: Arc<MeshNode>, log: Arc<dyn Log>, clock: SharedClock) {
    loop {
        clock.sleep(CHECK_INTERVAL).await;
        if unpublished(&node).is_empty() {
            continue;
        }
        clock.sleep(MAX_JITTER.mul_f64(fastrand::f64())).await;
        for (base, key) in unpublished(&node) {
            if let Some(record) = withdrawal_record(base, key)
                && let Err(e) = log.append(Stream::Config, &record).await
            {
                log::warn!(error:% = e; "cannot publish a withdrawn key on the log");
            }
        }
    }
}

/// Returns the withdrawn keys that are still valid in the configuration, with the versions of their
/// items.
fn unpublished(node: &MeshNode) -> Vec<(Version, ApiKey)> {
    let store = node.store();
    let config = store.config();
    let withdrawn = store.revoked().iter().filter_map(|digest| {
        let key = config.key(digest).filter(|k| !k.withdrawn)?;
        let entry = config.get(&Item::Key(key.clone()).key())?;
        Some((entry.version, key.clone()))
    });
    withdrawn.collect()
}

/// Encodes the change that withdraws `key`.
fn withdrawal_record(base: Version, key: ApiKey) -> Option<String> {
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
