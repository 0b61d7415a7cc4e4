//! Transfer of configuration and endpoints between VMs.
//!
//! One VM of each availability zone, the reader, reads the platform. The others keep a long poll
//! open to it and receive the changes. A VM whose reader is stale reads the platform itself. Usage
//! counts travel the other way, so that the reader stores them for its zone.

use {
    super::{
        Node,
        feed_reader::MAX_FRESH_AGE,
        reader_cursor::{DIRECT_READ_TIME, ReaderCursor},
        state_source::StateSource,
        state_trailer::{self, RequestTrailer, ResponseTrailer},
    },
    crate::{
        adapter::FeedKind,
        configuration::{Config, ConfigDoc},
        endpoints::{Endpoint, EndpointChange},
    },
    clock::timeout,
    h1::{Headers, RequestHead, call},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    types::{Bytes, EndpointId, Incarnation, Version},
    usage::WindowCountRecord,
};

/// Path of the state request.
pub(super) const STATE_PATH: &str = "/news";
/// Time that a state request waits for changes. Together with `RESPONSE_TIMEOUT` it leaves time for
/// a read of the platform within the shortest bound for applying a change.
const MAX_WAIT: Duration = Duration::from_millis(450);
/// Timeout of a state request beyond the time that it waits.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
/// Largest accepted response.
const MAX_RESPONSE: Bytes = Bytes(8 * 1024 * 1024);
/// Interval between two checks of whether this VM's state is fresh.
const FRESHNESS_POLL: Duration = Duration::from_millis(40);
/// Interval between two checks of which VM is the reader; also the time that the next reader gets
/// to read the platform itself.
const READER_POLL: Duration = Duration::from_millis(150);
/// Shortest drain bound for which a second reader is tried: two calls that time out and a read of
/// the platform take less.
const MIN_DRAIN_FOR_SECOND_READER: Duration = Duration::from_millis(2_800);
/// Time that the VM tries the platform at the start before it asks other VMs.
const PLATFORM_HEAD_START: Duration = Duration::from_millis(600);
/// Number of VMs of a zone that may read the platform for it.
const ZONE_READERS: usize = 2;
/// Number of stale responses after which no further VMs are asked at the start: in an outage all states are stale.
const MAX_STALE_STATES: usize = 4;
/// Pause between two rounds of asking other VMs at the start.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time from a read of the list to the receipt of what was read, beyond the age that the responder tells.
const TRANSFER_TIME: Duration = Duration::from_millis(250);
/// Age from which a list says nothing of the releases that serve.
const MAX_OBSERVED_AGE: Duration = Duration::from_secs(60);

/// A request for the state that another VM knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StateRequest {
    /// Incarnation of the responder and number of its next change, as of the last response.
    since: Option<(Incarnation, u64)>,
    /// Version of the requester's configuration.
    version: Version,
    /// Usage counts of the requester that changed.
    #[serde(rename = "tallies")]
    counts: Vec<WindowCountRecord>,
    /// Whether the response waits for changes.
    waits: bool,
}

/// Response to a state request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct StateResponse {
    /// Incarnation of the responder.
    pub(super) inc: Incarnation,
    /// Number of its next change.
    pub(super) next: u64,
    /// The configuration, if it is newer than the requester's.
    #[serde(rename = "catalog")]
    config: Option<ConfigDoc>,
    /// All endpoints, if the changes since the last response are not known.
    all: Option<Vec<Endpoint>>,
    /// Endpoint changes since the last response.
    changes: Vec<EndpointChange>,
    /// Milliseconds since the responder read configuration and endpoints from the platform;
    /// `u64::MAX` while its list has entries that lapsed in an outage.
    pub(super) ages: [u64; 2],
    /// What earlier releases don't know.
    #[serde(skip)]
    trailer: ResponseTrailer,
}

impl StateResponse {
    /// Whether the responder read both feeds recently.
    pub(super) fn is_fresh(&self) -> bool {
        let fresh = |age: &u64| u128::from(*age) < MAX_FRESH_AGE.as_millis();
        self.ages.iter().all(fresh)
    }

    /// Whether the responder has read both feeds, however long ago.
    fn has_read(&self) -> bool {
        self.ages.iter().all(|age| *age < u64::MAX)
    }
}

/// Serves a state request of another VM.
pub(super) async fn serve_state(node: Arc<Node>, body: Vec<u8>) -> (u16, Vec<u8>) {
    let decoded = state_trailer::decode::<StateRequest, RequestTrailer>(&body);
    let Ok((request, known)) = decoded else {
        return (400, Vec::new());
    };
    if node.config().is_none() {
        return (503, Vec::new());
    }
    if !request.counts.is_empty() {
        let mut backlog = node.count_backlog.lock();
        request.counts.iter().for_each(|c| backlog.add(c.clone()));
    }
    if request.waits {
        let waiting = async {
            // A VM that has just become its zone's reader is still reading the platform.
            while !is_fresh(&node) {
                node.clock.sleep(FRESHNESS_POLL).await;
            }
            loop {
                let changed = node.changed.listen();
                if has_changes(&node, &request, &known) {
                    return;
                }
                changed.await;
            }
        };
        // If nothing changed, the response still tells how fresh the state is.
        let waited = timeout(&*node.clock, MAX_WAIT, waiting).await;
        metrics::counter!("celerystage_news_told_total", "changed" => waited.is_ok().to_string())
            .increment(1);
    }
    node.note_shortages(&known.shortages);
    let response = build_response(&node, &request, &known);
    match state_trailer::encode(&response, &response.trailer) {
        Ok(bytes) => (200, bytes),
        Err(e) => {
            log::error!(error:% = e; "cannot encode a state response");
            (500, Vec::new())
        }
    }
}

/// Whether this VM read both feeds recently.
fn is_fresh(node: &Node) -> bool {
    let now = node.clock.now();
    let freshness = node.freshness.lock();
    let recent = FeedKind::ALL.map(|kind| freshness.age(now, kind) < MAX_FRESH_AGE);
    recent == [true; 2]
}

/// Whether this VM knows something that the requester doesn't.
fn has_changes(node: &Node, request: &StateRequest, known: &RequestTrailer) -> bool {
    let next = node.history.lock().next();
    let version = node.config().map(|c| c.doc.version);
    let evacuations = node.evacuations_position();
    request.since != Some((node.incarnation, next))
        || version > Some(request.version)
        || evacuations > known.evacuations
        || node.assignments_position() > known.assignments
}

fn build_response(node: &Node, request: &StateRequest, known: &RequestTrailer) -> StateResponse {
    let config = node.config();
    let newer = config.filter(|c| c.doc.version > request.version);
    let trailer = ResponseTrailer {
        evacuations: node.evacuation_record(),
        cold: newer
            .as_ref()
            .map(|c| ResponseTrailer::cold_policies(&c.doc))
            .unwrap_or_default(),
        assignments: Some(node.assignment_news(known.assignments)),
    };
    let registry = node.registry.lock();
    let history = node.history.lock();
    let since = request.since.filter(|(inc, _)| *inc == node.incarnation);
    let now = node.clock.now();
    let changes = since.and_then(|(_, from)| history.since(from));
    let told = |change| match change {
        EndpointChange::Listed(endpoint) => {
            EndpointChange::Listed(registry.for_peers(now, &endpoint))
        }
        EndpointChange::Gone(id) => EndpointChange::Gone(id),
    };
    let changes: Option<Vec<_>> = changes.map(|all| all.into_iter().map(told).collect());
    let all = changes.is_none().then(|| {
        let endpoints = registry.endpoints();
        endpoints.map(|e| registry.for_peers(now, e)).collect()
    });
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
        trailer,
    }
}

/// Receives state from the reader of this zone until it is dropped.
///
/// If the reader's calls to the platform fail, all VMs of the zone would start to read the platform
/// at the same moment. Instead they turn to the next reader first, so that only that one starts to
/// read the platform.
pub(super) async fn follow_readers(node: Arc<Node>) {
    let drain = node.settings.bounds.endpoint_drain;
    let max_readers = if drain >= MIN_DRAIN_FOR_SECOND_READER {
        2
    } else {
        1
    };
    let mut since = None;
    let mut cursor = ReaderCursor::default();
    let mut source = StateSource::default();
    loop {
        let now = node.clock.now();
        let mut readers = node.peers.lock().readers(now);
        readers.truncate(max_readers);
        let current = cursor.current(now, &readers);
        let (Some(reader), false) = (current, node.reads_platform(now)) else {
            since = None;
            if !is_fresh(&node) && node.may_ask_others(now) {
                source.refresh(&node).await;
            }
            node.clock.sleep(READER_POLL).await;
            continue;
        };
        let addr = SocketAddr::new(reader.ip(), node.settings.control.port());
        let result = request_state(&node, addr, since, true).await;
        let has_read = match result {
            Ok(response) if response.is_fresh() => {
                since = Some((response.inc, response.next));
                apply_response(&node, response);
                continue;
            }
            Ok(response) => {
                log::info!(reader:% = addr, ages:? = response.ages; "state of the reader is stale");
                response.has_read()
            }
            Err(cause) => {
                log::info!(reader:% = addr, cause = cause.as_str(); "reader does not respond");
                false
            }
        };
        let now = node.clock.now();
        if cursor.advance(now, readers.len()) {
            // The next reader notices the failure at the same time, and needs a moment to read the
            // platform.
            node.clock.sleep(READER_POLL).await;
        } else if !node.may_read_directly(now, has_read) {
            node.clock.sleep(READER_POLL).await;
        } else {
            log::info!(readers = readers.len(); "no reader has fresh state, reading the platform");
            node.read_platform_until(now + DIRECT_READ_TIME);
        }
    }
}

/// Requests the state of other VMs at the start until this VM knows a configuration and endpoints. A stale state is applied if
/// there is none yet; further VMs are then asked for a fresh one.
pub(super) async fn fetch_initial_state(node: Arc<Node>) {
    node.clock.sleep(PLATFORM_HEAD_START).await;
    while !node.is_ready() {
        let mut stale = 0;
        for addr in known_vms(&node) {
            if stale >= MAX_STALE_STATES || is_fresh(&node) {
                break;
            }
            match request_state(&node, addr, None, false).await {
                Ok(response) => {
                    let fresh = response.is_fresh();
                    log::info!(peer:% = addr, ages:? = response.ages, fresh = fresh; "configuration and endpoints received from another VM");
                    if fresh || !node.is_ready() {
                        apply_response(&node, response);
                    }
                    if fresh {
                        return;
                    }
                    stale += 1;
                }
                Err(cause) => {
                    log::debug!(peer:% = addr, cause = cause.as_str(); "no state from another VM");
                }
            }
        }
        if !node.is_ready() {
            node.clock.sleep(FETCH_RETRY_PAUSE).await;
        }
    }
}

/// Control addresses of the VMs to ask for state: the readers of this zone, then the seeds and other live VMs, which
/// may be of other zones, then all that precede this one as reader.
fn known_vms(node: &Node) -> Vec<SocketAddr> {
    let own_addr = node.settings.control;
    let (stronger, others) = {
        let (peers, now) = (node.peers.lock(), node.clock.now());
        (peers.stronger_addresses(now), peers.sample_addresses(now))
    };
    let control = |a: SocketAddr| SocketAddr::new(a.ip(), own_addr.port());
    let (readers, stronger) = stronger.split_at(stronger.len().min(ZONE_READERS));
    let mut all: Vec<_> = readers.iter().copied().map(control).collect();
    all.extend(&node.settings.seeds);
    all.extend(others.iter().chain(stronger).copied().map(control));
    all.retain(|a| *a != own_addr);
    let mut seen = BTreeSet::new();
    all.retain(|a| seen.insert(*a));
    all
}

/// Requests the state of the VM at `addr`. With `waits` the request also carries this VM's usage
/// counts and waits for changes.
pub(super) async fn request_state(
    node: &Node,
    addr: SocketAddr,
    since: Option<(Incarnation, u64)>,
    waits: bool,
) -> Result<StateResponse, String> {
    let counts = if waits {
        node.take_counts()
    } else {
        Vec::new()
    };
    let windows: Vec<u64> = counts.iter().map(|c| c.window).collect();
    let request = StateRequest {
        since,
        version: node.config().map_or(Version::default(), |c| c.doc.version),
        counts,
        waits,
    };
    let known = RequestTrailer {
        evacuations: node.evacuations_position(),
        assignments: node.assignments_position(),
        shortages: node.shortages(),
    };
    let body = state_trailer::encode(&request, &known).map_err(|e| e.to_string())?;
    let head = RequestHead {
        method: "POST".into(),
        target: STATE_PATH.into(),
        minor_version: 1,
        headers: Headers::default(),
    };
    let limits = (MAX_WAIT + RESPONSE_TIMEOUT, MAX_RESPONSE);
    let reply = call(&*node.clock, &node.pool, addr, (head, &body), limits).await;
    let response: Result<StateResponse, String> = match reply {
        Ok(reply) if reply.head.status == 200 => {
            let decoded = state_trailer::decode::<StateResponse, ResponseTrailer>(&reply.body);
            let decoded = decoded.map(|(response, trailer)| StateResponse {
                trailer,
                ..response
            });
            decoded.map_err(|e| e.to_string())
        }
        Ok(reply) => Err(format!("status {}", reply.head.status)),
        Err(e) => Err(e.to_string()),
    };
    if let (Ok(response), true) = (&response, waits) {
        node.note_count_keeper(response.inc);
    }
    if response.is_err() {
        let mut window_counter = node.window_counter.lock();
        windows
            .into_iter()
            .for_each(|window| window_counter.mark_changed(window));
    }
    response
}

pub(super) fn apply_response(node: &Node, response: StateResponse) {
    let age = Duration::from_millis(response.ages[1]).saturating_add(TRANSFER_TIME);
    if let Some(record) = &response.trailer.evacuations {
        node.replace_evacuations(record.at, &record.zones);
    }
    if let Some(mut doc) = response.config {
        response.trailer.complete(&mut doc);
        node.apply_config(Arc::new(Config::new(doc)));
    }
    node.apply_assignments(response.trailer.assignments);
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
    if age < MAX_OBSERVED_AGE {
        node.observe_list(node.clock.now() - age);
    }
}
