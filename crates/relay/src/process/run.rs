//! Starts all tasks of the process.

use {
    super::{
        Node, NodeProcess,
        drain::drain,
        duty::{run_duties, store_counts},
        follow::follow,
        gossip,
        relay::{NEWS_PATH, fetch_first, follow_readers, tell},
    },
    crate::{
        connection::{Answering, Page, listen, serve_front, serve_pages},
        port::{Dialect, Duties, Feed, FeedKind, NodeSettings, SharedLog},
    },
    async_io::Async,
    eyre::{Result, WrapErr},
    std::{net::UdpSocket, sync::Arc, time::Duration},
};

/// Time between two sweeps of lapsed endpoints and of idle connections.
const SWEEP: Duration = Duration::from_millis(250);

/// What an adapter provides.
pub struct Adapter {
    /// Settings of the VM.
    pub settings: NodeSettings,
    /// Header fields.
    pub dialect: Arc<dyn Dialect>,
    /// Configuration and endpoints.
    pub feed: Arc<dyn Feed>,
    /// The shared log.
    pub log: Arc<dyn SharedLog>,
    /// Calls of the duty holder.
    pub duties: Arc<dyn Duties>,
}

/// Runs the router until the process is stopped.
pub async fn run_node(process: NodeProcess, adapter: Adapter) -> Result<()> {
    let Adapter {
        settings,
        dialect,
        feed,
        log,
        duties,
    } = adapter;
    let front = listen(settings.front, "callers")?;
    let ready = listen(settings.ready, "readiness")?;
    let control = listen(settings.control, "control")?;
    let socket = Async::<UdpSocket>::bind(settings.peers)
        .wrap_err_with(|| format!("cannot listen on {} for other VMs", settings.peers))?;
    let socket = Arc::new(socket);
    let node = Arc::new(Node::new(&process, settings, dialect));
    log::info!(vm:% = node.settings.vm, zone:% = node.settings.zone, incarnation = node.inc.0; "started");
    let ex = &process.ex;
    let tasks = [
        ex.spawn(follow(node.clone(), feed.clone(), FeedKind::Configuration)),
        ex.spawn(follow(node.clone(), feed, FeedKind::Endpoints)),
        ex.spawn(serve_front(node.clone(), front)),
        ex.spawn(serve_pages(node.clone(), ready, ready_page(&node))),
        ex.spawn(serve_pages(node.clone(), control, control_page(&node))),
        ex.spawn(gossip::hear(node.clone(), socket.clone())),
        ex.spawn(gossip::speak(node.clone(), socket)),
        ex.spawn(fetch_first(node.clone())),
        ex.spawn(follow_readers(node.clone())),
        ex.spawn(run_duties(node.clone(), log.clone(), duties)),
        ex.spawn(store_counts(node.clone(), log.clone())),
        ex.spawn(sweep(node.clone())),
    ];
    process.stop.wait().await;
    drain(&node, &*log).await;
    drop(tasks);
    Ok(())
}

fn ready_page(node: &Arc<Node>) -> Page {
    let node = node.clone();
    Arc::new(move |_, _| {
        let ready = node.is_ready();
        answer(if ready { 200 } else { 503 })
    })
}

fn control_page(node: &Arc<Node>) -> Page {
    let node = node.clone();
    Arc::new(move |path, body| {
        if path != NEWS_PATH {
            return answer(404);
        }
        Box::pin(tell(node.clone(), body))
    })
}

fn answer(status: u16) -> Answering {
    Box::pin(async move { (status, Vec::new()) })
}

async fn sweep(node: Arc<Node>) {
    loop {
        node.clock.sleep(SWEEP).await;
        node.expire();
        node.pool.remove_expired(node.clock.now());
    }
}
