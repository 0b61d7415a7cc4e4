//! What a VM tells one that starts while the platform cannot be reached.

use {
    super::Node,
    crate::{
        fleet::Endpoint,
        version::{Catalog, CatalogDoc},
    },
    h1::get,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    types::Bytes,
};

/// Path of the page.
pub(super) const SNAPSHOT_PATH: &str = "/snapshot";
/// Time that the platform gets before other VMs are asked.
const PLATFORM_FIRST: Duration = Duration::from_millis(600);
/// Pause between rounds.
const PAUSE: Duration = Duration::from_millis(700);
/// Time for one answer.
const LIMIT: Duration = Duration::from_millis(700);
/// Largest accepted answer.
const MOST: Bytes = Bytes(8 * 1024 * 1024);

/// What a VM knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Snapshot {
    catalog: CatalogDoc,
    endpoints: Vec<Endpoint>,
}

/// The page's body, if this VM knows a configuration.
pub(super) fn snapshot(node: &Node) -> Option<Vec<u8>> {
    let catalog = node.catalog()?;
    let snapshot = Snapshot {
        catalog: catalog.doc.clone(),
        endpoints: node.registry.lock().all().cloned().collect(),
    };
    rmp_serde::to_vec(&snapshot)
        .inspect_err(|e| log::error!(error:% = e; "snapshot cannot be encoded"))
        .ok()
}

/// Asks other VMs until this one knows a configuration and endpoints.
pub(super) async fn fetch(node: Arc<Node>) {
    node.clock.sleep(PLATFORM_FIRST).await;
    while !node.is_ready() {
        for addr in sources(&node) {
            if ask(&node, addr).await {
                return;
            }
        }
        node.clock.sleep(PAUSE).await;
    }
}

/// Control addresses of seeds and of VMs that were heard.
fn sources(node: &Node) -> Vec<SocketAddr> {
    let own = node.settings.control;
    let heard = node.peers.lock().sample(node.clock.now());
    let heard = heard.iter().map(|a| SocketAddr::new(a.ip(), own.port()));
    let mut all: Vec<_> = node.settings.seeds.iter().copied().chain(heard).collect();
    all.retain(|a| *a != own);
    all.dedup();
    all
}

async fn ask(node: &Node, addr: SocketAddr) -> bool {
    let answer = get(&*node.clock, &node.pool, addr, SNAPSHOT_PATH, (LIMIT, MOST)).await;
    let answer = match answer {
        Ok(answer) if answer.head.status == 200 => answer,
        Ok(_) => return false,
        Err(e) => {
            log::debug!(peer:% = addr, error:% = e; "VM tells nothing");
            return false;
        }
    };
    match rmp_serde::from_slice::<Snapshot>(&answer.body) {
        Ok(snapshot) => {
            log::info!(
                peer:% = addr, version = snapshot.catalog.version.0,
                endpoints = snapshot.endpoints.len();
                "configuration and endpoints taken from another VM"
            );
            node.apply(Arc::new(Catalog::new(snapshot.catalog)));
            let known = !node.registry.lock().is_empty();
            if !known {
                snapshot.endpoints.into_iter().for_each(|e| node.list(e));
            }
            true
        }
        Err(e) => {
            log::warn!(peer:% = addr, error:% = e; "another VM's snapshot cannot be decoded");
            false
        }
    }
}
