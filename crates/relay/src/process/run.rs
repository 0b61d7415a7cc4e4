//! Starts the tasks of the process.

use {
    super::{
        Node, NodeProcess,
        carriers::{CARRIERS_PATH, follow_carriers, serve_carriers},
        count_store::store_counts,
        duty_worker::run_duties,
        feed_reader::follow_feed,
        gossip,
        links::watch_links,
        origin_log::write_origin_log,
        origin_news::{expire_origins, send_origin_news},
        release_records::keep_releases,
        shutdown::shut_down,
        state_sync::{STATE_PATH, fetch_initial_state, follow_readers, serve_state},
    },
    crate::{
        adapter::{DutyApi, Feed, FeedKind, HeaderCodec, NodeSettings, SharedLog},
        connection::{
            Audience, InternalFuture, InternalHandler, listen, serve_front, serve_internal,
        },
    },
    async_io::Async,
    eyre::{Result, WrapErr},
    std::{net::UdpSocket, sync::Arc, time::Duration},
};

/// Interval between two sweeps of lapsed endpoints and idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time by which a timer is late from which the process counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(300);

/// Silence of all endpoints, while requests wait for them, from which it is logged.
const MIN_LOGGED_SILENCE: Duration = Duration::from_secs(1);

/// What a platform adapter provides.
pub struct Adapter {
    /// Settings of the VM.
    pub settings: NodeSettings,
    /// Parser and writer of the platform's header fields.
    pub codec: Arc<dyn HeaderCodec>,
    /// Feeds of configuration and endpoints.
    pub feed: Arc<dyn Feed>,
    /// The shared log.
    pub log: Arc<dyn SharedLog>,
    /// Calls of the duty holder.
    pub duty_api: Arc<dyn DutyApi>,
}

/// Runs the router until the process is stopped and has drained.
pub async fn run_node(process: NodeProcess, adapter: Adapter) -> Result<()> {
    let Adapter {
        settings,
        codec,
        feed,
        log,
        duty_api,
    } = adapter;
    let front = listen(settings.front, "callers")?;
    let ready = listen(settings.ready, "readiness")?;
    let control = listen(settings.control, "control")?;
    let socket = Async::<UdpSocket>::bind(settings.peers)
        .wrap_err_with(|| format!("cannot listen on {} for gossip", settings.peers))?;
    let socket = Arc::new(socket);
    let node = Arc::new(Node::new(&process, settings, codec));
    log::info!(vm:% = node.settings.vm, zone:% = node.settings.zone, incarnation = node.incarnation.0, first_start = node.settings.first_start; "started");
    let ex = &process.ex;
    let tasks = [
        ex.spawn(follow_feed(
            node.clone(),
            feed.clone(),
            FeedKind::Configuration,
        )),
        ex.spawn(follow_feed(node.clone(), feed, FeedKind::Endpoints)),
        ex.spawn(serve_front(node.clone(), front)),
        ex.spawn(serve_internal(
            node.clone(),
            ready,
            ready_handler(&node),
            Audience::Platform,
        )),
        ex.spawn(serve_internal(
            node.clone(),
            control,
            control_handler(&node),
            Audience::Vms,
        )),
        ex.spawn(gossip::receive_gossip(node.clone(), socket.clone())),
        ex.spawn(gossip::send_gossip(node.clone(), socket.clone())),
        ex.spawn(send_origin_news(node.clone(), socket)),
        ex.spawn(expire_origins(node.clone())),
        ex.spawn(fetch_initial_state(node.clone())),
        ex.spawn(follow_readers(node.clone())),
        ex.spawn(run_duties(node.clone(), log.clone(), duty_api)),
        ex.spawn(store_counts(node.clone(), log.clone())),
        ex.spawn(keep_releases(node.clone(), log.clone())),
        ex.spawn(write_origin_log(node.clone(), log.clone())),
        ex.spawn(watch_links(node.clone())),
        ex.spawn(follow_carriers(node.clone())),
        ex.spawn(sweep(node.clone())),
    ];
    process.stop.wait().await;
    shut_down(&node, &*log).await;
    drop(tasks);
    Ok(())
}

fn ready_handler(node: &Arc<Node>) -> InternalHandler {
    let node = node.clone();
    Arc::new(move |_, _| {
        let ready = node.is_ready();
        status_only(if ready { 200 } else { 503 })
    })
}

fn control_handler(node: &Arc<Node>) -> InternalHandler {
    let node = node.clone();
    Arc::new(move |path, body| match path {
        STATE_PATH => Box::pin(serve_state(node.clone(), body)),
        CARRIERS_PATH => {
            let response = serve_carriers(&node);
            Box::pin(async move { response })
        }
        _ => status_only(404),
    })
}

fn status_only(status: u16) -> InternalFuture {
    Box::pin(async move { (status, Vec::new()) })
}

async fn sweep(node: Arc<Node>) {
    let mut due = node.clock.now() + SWEEP_INTERVAL;
    let mut hears_endpoints = true;
    loop {
        node.clock.sleep(SWEEP_INTERVAL).await;
        let now = node.clock.now();
        let late = now.since(due);
        if late >= MIN_STALL {
            node.reachability.lock().record_pause();
            log::warn!(stalled_ms = late.as_millis() as u64; "this process could not run for a time");
        }
        due = now + SWEEP_INTERVAL;
        let silence = node.endpoint_silence(now);
        let heard = silence.is_none_or(|time| time < MIN_LOGGED_SILENCE);
        if heard != hears_endpoints {
            log::warn!(hears = heard, silent_ms = silence.map_or(0, |t| t.as_millis() as u64); "responses of all endpoints");
            hears_endpoints = heard;
        }
        node.drop_expired();
        node.expire_evacuations();
        node.count_endpoint_states();
        node.judge_crashes();
        node.pool.remove_expired(node.clock.now());
    }
}
