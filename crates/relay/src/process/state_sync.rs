//! News of configuration and endpoints from VM to VM.
//!
//! One VM of each availability zone reads the platform; the others hold a call open to it and get
//! what changed. Whoever gets no fresh news reads the platform itself. Counts of requests travel
//! the other way, so that one VM of a zone stores them for all.

use {
    super::{Node, feed_reader::MAX_FRESH_AGE},
    crate::{
        adapter::FeedKind,
        configuration::{Config, ConfigDoc},
        endpoints::{Endpoint, EndpointChange},
    },
    clock::{Stamp, within},
    h1::{Headers, RequestHead, call},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    types::{Bytes, EndpointId, Incarnation, Version},
    usage::TallyRecord,
};

/// Path of the call.
pub(super) const STATE_PATH: &str = "/news";
/// Time that the call waits for changes, and its limit beyond that: together they leave time for a
/// read of the platform within the shortest bound of a change.
const MAX_WAIT: Duration = Duration::from_millis(450);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
/// Largest accepted answer.
const MAX_RESPONSE: Bytes = Bytes(8 * 1024 * 1024);
/// Pause between two looks whether the own news are fresh.
const FRESHNESS_POLL: Duration = Duration::from_millis(40);
/// Pause between two looks at who reads the platform.
const READER_POLL: Duration = Duration::from_millis(150);
/// Time that a VM reads the platform itself after it got no fresh news.
const DIRECT_READ_TIME: Duration = Duration::from_secs(4);
/// Shortest drain bound for which a second reader is asked: two calls without an answer and a read
/// of the platform take less.
const MIN_DRAIN_FOR_DEPUTY: Duration = Duration::from_millis(2_800);
/// Time that the platform gets at the start before any VM is asked.
const PLATFORM_HEAD_START: Duration = Duration::from_millis(600);
/// Pause between two rounds at the start.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// What a VM asks.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StateRequest {
    /// The process and number of the last change that the asker has.
    since: Option<(Incarnation, u64)>,
    /// The asker's configuration.
    version: Version,
    /// Its counts that changed.
    tallies: Vec<TallyRecord>,
    /// Whether to wait for changes.
    waits: bool,
}

/// What it is told.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StateResponse {
    inc: Incarnation,
    next: u64,
    /// A newer configuration.
    #[serde(rename = "catalog")]
    config: Option<ConfigDoc>,
    /// All endpoints, unless the changes tell it.
    all: Option<Vec<Endpoint>>,
    changes: Vec<EndpointChange>,
    /// Milliseconds since the teller read configuration and endpoints from the platform; without
    /// bound while its list holds entries that lapsed in an outage.
    ages: [u64; 2],
}

/// Answers another VM.
pub(super) async fn serve_state(node: Arc<Node>, body: Vec<u8>) -> (u16, Vec<u8>) {
    let Ok(request) = rmp_serde::from_slice::<StateRequest>(&body) else {
        return (400, Vec::new());
    };
    if node.config().is_none() {
        return (503, Vec::new());
    }
    if !request.tallies.is_empty() {
        node.peer_tallies
            .lock()
            .extend(request.tallies.iter().cloned());
    }
    if request.waits {
        let waiting = async {
            // A VM that has just become its zone's reader has asked the platform, and will know in
            // a moment.
            while !is_fresh(&node) {
                node.clock.sleep(FRESHNESS_POLL).await;
            }
            loop {
                let changed = node.changed.listen();
                if has_changes(&node, &request) {
                    return;
                }
                changed.await;
            }
        };
        // Without news the answer tells how fresh the teller's view is.
        let waited = within(&*node.clock, MAX_WAIT, waiting).await;
        metrics::counter!("celerystage_news_told_total", "changed" => waited.is_ok().to_string())
            .increment(1);
    }
    match rmp_serde::to_vec(&build_response(&node, &request)) {
        Ok(bytes) => (200, bytes),
        Err(e) => {
            log::error!(error:% = e; "news cannot be encoded");
            (500, Vec::new())
        }
    }
}

fn is_fresh(node: &Node) -> bool {
    let now = node.clock.now();
    let fresh = node.freshness.lock();
    let recent = FeedKind::ALL.map(|kind| fresh.age(now, kind) < MAX_FRESH_AGE);
    recent == [true; 2]
}

fn has_changes(node: &Node, request: &StateRequest) -> bool {
    let next = node.history.lock().next();
    let version = node.config().map(|c| c.doc.version);
    request.since != Some((node.incarnation, next)) || version > Some(request.version)
}

fn build_response(node: &Node, request: &StateRequest) -> StateResponse {
    let config = node.config();
    let newer = config.filter(|c| c.doc.version > request.version);
    let registry = node.registry.lock();
    let history = node.history.lock();
    let since = request.since.filter(|(inc, _)| *inc == node.incarnation);
    let changes = since.and_then(|(_, from)| history.since(from));
    let all = changes
        .is_none()
        .then(|| registry.endpoints().cloned().collect());
    let now = node.clock.now();
    let settled = registry.is_settled();
    let ages = FeedKind::ALL.map(|kind| {
        if !settled {
            return u64::MAX;
        }
        let age = node.freshness.lock().age(now, kind);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    });
    StateResponse {
        inc: node.incarnation,
        next: history.next(),
        config: newer.map(|c| c.doc.clone()),
        all,
        changes: changes.unwrap_or_default(),
        ages,
    }
}

/// Which of a zone's readers is followed.
#[derive(Debug, Default)]
struct ReaderCursor {
    /// Place in the order of readers.
    index: usize,
    /// When the first one is tried again.
    reset_at: Stamp,
}

impl ReaderCursor {
    fn current(&mut self, now: Stamp, readers: &[SocketAddr]) -> Option<SocketAddr> {
        if now >= self.reset_at || self.index >= readers.len() {
            self.index = 0;
        }
        readers.get(self.index).copied()
    }

    /// Turns to the next reader; false if none is left.
    fn advance(&mut self, now: Stamp, readers: usize) -> bool {
        self.index = (self.index + 1) % readers.max(1);
        self.reset_at = now + DIRECT_READ_TIME;
        self.index != 0
    }
}

/// Follows the readers of this zone until it is dropped.
///
/// Answers this load: the store or the link of a zone's reader fails, and all VMs of the zone turn
/// to the store in the same moment. They turn to the next reader first, which does so alone.
pub(super) async fn follow_readers(node: Arc<Node>) {
    let drain = node.settings.bounds.endpoint_drain;
    let max_readers = if drain >= MIN_DRAIN_FOR_DEPUTY { 2 } else { 1 };
    let mut since = None;
    let mut cursor = ReaderCursor::default();
    loop {
        let now = node.clock.now();
        let mut readers = node.peers.lock().readers(now);
        readers.truncate(max_readers);
        let current = cursor.current(now, &readers);
        let (Some(reader), false) = (current, node.reads_platform(now)) else {
            since = None;
            node.clock.sleep(READER_POLL).await;
            continue;
        };
        let addr = SocketAddr::new(reader.ip(), node.settings.control.port());
        let result = request_state(&node, addr, since, true).await;
        let fresh = |age: &u64| u128::from(*age) < MAX_FRESH_AGE.as_millis();
        match result {
            Ok(response) if response.ages.iter().all(fresh) => {
                since = Some((response.inc, response.next));
                apply_response(&node, response);
                continue;
            }
            Ok(response) => {
                log::info!(reader:% = addr, ages:? = response.ages; "reader's news are old")
            }
            Err(cause) => log::info!(reader:% = addr, cause = cause.as_str(); "reader lost"),
        }
        if cursor.advance(node.clock.now(), readers.len()) {
            // The next reader notices at the same time and needs a moment to read.
            node.clock.sleep(READER_POLL).await;
        } else {
            log::info!(readers = readers.len(); "no fresh news, reading the platform");
            node.read_platform_until(now + DIRECT_READ_TIME);
        }
    }
}

/// Asks other VMs at the start until this one knows a configuration and endpoints, however old.
pub(super) async fn fetch_initial_state(node: Arc<Node>) {
    node.clock.sleep(PLATFORM_HEAD_START).await;
    while !node.is_ready() {
        for addr in known_vms(&node) {
            match request_state(&node, addr, None, false).await {
                Ok(response) => {
                    log::info!(peer:% = addr, ages:? = response.ages; "configuration and endpoints taken from another VM");
                    apply_response(&node, response);
                    return;
                }
                Err(cause) => {
                    log::debug!(peer:% = addr, cause = cause.as_str(); "VM tells nothing");
                }
            }
        }
        node.clock.sleep(FETCH_RETRY_PAUSE).await;
    }
}

/// Control addresses of seeds and of VMs that were heard.
fn known_vms(node: &Node) -> Vec<SocketAddr> {
    let own = node.settings.control;
    let gossiped = node.peers.lock().sample_addresses(node.clock.now());
    let gossiped = gossiped.iter().map(|a| SocketAddr::new(a.ip(), own.port()));
    let mut all: Vec<_> = node
        .settings
        .seeds
        .iter()
        .copied()
        .chain(gossiped)
        .collect();
    all.retain(|a| *a != own);
    all.dedup();
    all
}

async fn request_state(
    node: &Node,
    addr: SocketAddr,
    since: Option<(Incarnation, u64)>,
    waits: bool,
) -> Result<StateResponse, String> {
    let tallies = if waits {
        node.tally.lock().take_changed()
    } else {
        Vec::new()
    };
    let windows: Vec<u64> = tallies.iter().map(|(window, _)| *window).collect();
    let request = StateRequest {
        since,
        version: node.config().map_or(Version::default(), |c| c.doc.version),
        tallies: node.tally_records(tallies),
        waits,
    };
    let body = rmp_serde::to_vec(&request).map_err(|e| e.to_string())?;
    let head = RequestHead {
        method: "POST".into(),
        target: STATE_PATH.into(),
        minor: 1,
        headers: Headers::default(),
    };
    let limits = (MAX_WAIT + RESPONSE_TIMEOUT, MAX_RESPONSE);
    let reply = call(&*node.clock, &node.pool, addr, (head, &body), limits).await;
    let response = match reply {
        Ok(reply) if reply.head.status == 200 => {
            rmp_serde::from_slice(&reply.body).map_err(|e| e.to_string())
        }
        Ok(reply) => Err(format!("status {}", reply.head.status)),
        Err(e) => Err(e.to_string()),
    };
    if response.is_err() {
        let mut tally = node.tally.lock();
        windows
            .into_iter()
            .for_each(|window| tally.put_back(window));
    }
    response
}

fn apply_response(node: &Node, response: StateResponse) {
    if let Some(doc) = response.config {
        node.apply(Arc::new(Config::new(doc)));
    }
    if let Some(all) = response.all {
        let listed: Vec<EndpointId> = all.iter().map(|e| e.id.clone()).collect();
        all.into_iter().for_each(|e| node.upsert_endpoint(e));
        node.absent_endpoints(&listed)
            .iter()
            .for_each(|id| node.remove_endpoint_now(id));
    }
    for change in response.changes {
        match change {
            EndpointChange::Listed(endpoint) => node.upsert_endpoint(endpoint),
            EndpointChange::Gone(id) => node.remove_endpoint_now(&id),
        }
    }
}
