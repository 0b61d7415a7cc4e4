//! What requests do to endpoints: finds out whether an endpoint that cut a request has crashed, and
//! refuses requests of the kind that crashes endpoints.

use {
    super::{
        Node,
        gossip::{DatagramKind, MAX_DATAGRAM_BYTES, send},
    },
    crate::request::{EndpointTarget, Probe, RoutedRequest, SlotLease, probe},
    async_io::Async,
    compact_str::{CompactString, ToCompactString},
    route::{CrashChange, CrashNews, EndpointStart, Suspect},
    std::{
        collections::BTreeSet,
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
};

/// First bytes of encoded news; no other datagram begins with them.
const MARKER: [u8; 2] = [0xc1, 0xc2];
/// Pause before a connection is opened to an endpoint that cut a request: a process that crashes may
/// close its connections before it stops listening.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Timeout of that connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// Time in which an endpoint that has restarted at once is listed again, and interval at which the list
/// is looked at.
const RELIST_TIME: Duration = Duration::from_millis(1_500);
const RELIST_POLL: Duration = Duration::from_millis(250);
/// Most suspects that are logged for one request.
const MAX_SUSPECTS_LOGGED: usize = 8;

/// What an endpoint that cut a request showed afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// It accepts connections.
    Alive,
    /// It accepts connections, but is listed with a later start time.
    Restarted,
    /// It refuses connections.
    Refused,
    /// It doesn't respond, while others near it do.
    Silent,
    /// No connection could be opened, and this VM itself may be the reason.
    Unknown,
}

impl Node {
    /// Notes that an endpoint cut a request, or was silent towards it until it was given up.
    pub(crate) fn note_cut(
        self: &Arc<Self>,
        request: &RoutedRequest,
        slot: &SlotLease,
        cause: &'static str,
    ) {
        let heard_ms = self.activity(slot).map_or(-1, |a| {
            i64::try_from(a.last.as_millis()).unwrap_or(i64::MAX)
        });
        log::info!(
            request:% = request.caller.id, endpoint:% = slot.endpoint(), born = slot.target.born, cause = cause,
            heard_ms = heard_ms, events = request.progress.lock().events, suspects = join(&request.suspects).as_str();
            "request cut by its endpoint"
        );
        self.suspect_crash(request, slot);
    }

    /// Finds out whether the endpoint has crashed, if the request may be the cause.
    pub(crate) fn suspect_crash(self: &Arc<Self>, request: &RoutedRequest, slot: &SlotLease) {
        let start = slot.target.start();
        // An endpoint that leaves is expected to end.
        if !slot.on_trial() || self.registry.lock().has_left(&start.id, start.born) {
            return;
        }
        let now = self.clock.now();
        let needs_check = self
            .crashes
            .lock()
            .record_cut(now, &start, &request.suspects);
        if needs_check {
            let check = check_endpoint(self.clone(), slot.target.clone());
            self.executor.spawn(check).detach();
        }
    }

    /// Records that an endpoint answered a request without harm.
    pub(crate) fn record_sound(&self, request: &RoutedRequest, slot: &SlotLease) {
        let now = self.clock.now();
        self.record_alive(slot);
        let changes = self.crashes.lock().record_sound(now, &request.suspects);
        log_changes(&changes, "this VM");
    }

    /// Records that an endpoint went on with a request after a silence, so that it has not crashed.
    pub(crate) fn record_alive(&self, slot: &SlotLease) {
        let (now, start) = (self.clock.now(), slot.target.start());
        self.crashes.lock().record_alive(now, &start, slot.began);
    }

    /// Time for which a request is refused because others like it crash endpoints.
    pub(crate) fn quarantine(&self, request: &RoutedRequest) -> Option<Duration> {
        let now = self.clock.now();
        let crashes = self.crashes.lock();
        let (suspects, wait) = crashes.refused(now, &request.suspects)?;
        log::info!(
            request:% = request.caller.id, suspects = join(suspects).as_str(), ends_ms = wait.as_millis() as u64;
            "request refused, as others like it crashed endpoints"
        );
        Some(wait)
    }

    /// Whether an endpoint is listed with a later start time.
    pub(crate) fn has_restarted(&self, start: &EndpointStart) -> bool {
        let registry = self.registry.lock();
        let mut listed = registry.endpoints();
        listed.any(|e| e.addr == start.addr && e.born > start.born)
    }

    /// Imposes quarantines on crashes, and drops old ones.
    pub(super) fn judge_crashes(&self) {
        let changes = self.crashes.lock().update(self.clock.now());
        log_changes(&changes, "this VM");
    }
}

async fn check_endpoint(node: Arc<Node>, target: EndpointTarget) {
    node.clock.sleep(CHECK_DELAY).await;
    let start = target.start();
    let direct = if node.is_connected() {
        check_directly(&node, &target).await
    } else {
        Check::Unknown
    };
    let check = match direct {
        // This VM may have lost its links to all endpoints.
        Check::Refused | Check::Silent | Check::Unknown
            if !node.is_connected() || !node.confirm_link().await =>
        {
            check_through_carrier(&node, &target).await
        }
        check => check,
    };
    let crashed = matches!(check, Check::Restarted | Check::Refused | Check::Silent);
    log::info!(
        endpoint:% = start.id, born = start.born, check:? = check, crashed = crashed;
        "endpoint that cut a request checked"
    );
    let now = node.clock.now();
    node.crashes.lock().end_check(now, &start, crashed);
}

async fn check_directly(node: &Node, target: &EndpointTarget) -> Check {
    let opened = node.open_spare(target.addr, CHECK_TIMEOUT).await;
    match opened {
        Ok(Ok(())) => check_restart(node, target).await,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Check::Refused,
        Ok(Err(e)) => {
            log::warn!(endpoint:% = target.id, error:% = e; "cannot check an endpoint that cut a request");
            Check::Unknown
        }
        Err(_) if node.has_contact_near(&target.service, &target.id) => Check::Silent,
        Err(_) => Check::Unknown,
    }
}

async fn check_through_carrier(node: &Arc<Node>, target: &EndpointTarget) -> Check {
    match probe(node, target).await {
        Some(Probe::Accepts) => check_restart(node, target).await,
        Some(Probe::Refuses) => Check::Refused,
        Some(Probe::Silent) => Check::Silent,
        None => Check::Unknown,
    }
}

/// What an endpoint that accepts connections shows.
async fn check_restart(node: &Node, target: &EndpointTarget) -> Check {
    if restarts(node, &target.start()).await {
        Check::Restarted
    } else {
        Check::Alive
    }
}

/// Whether an endpoint is listed with a later start time, now or within `RELIST_TIME`.
async fn restarts(node: &Node, start: &EndpointStart) -> bool {
    let end = node.clock.now() + RELIST_TIME;
    loop {
        let restarted = node.has_restarted(start);
        if restarted || node.clock.now() >= end {
            return restarted;
        }
        node.clock.sleep(RELIST_POLL).await;
    }
}

/// Tells other VMs of crashes, if there is anything to tell.
pub(super) async fn send_crash_news(
    node: &Node,
    socket: &Async<UdpSocket>,
    targets: &[SocketAddr],
) {
    let now = node.clock.now();
    let (is_hub, uses_hubs, members) = {
        let peers = node.peers.lock();
        let members = peers.is_first_hub(now).then(|| peers.summary_targets(now));
        (peers.is_hub(now), peers.uses_hubs(now), members)
    };
    let repeats = is_hub || !uses_hubs;
    let mut news = node.crashes.lock().tell(now, is_hub, repeats);
    if news.is_empty() {
        return;
    }
    let bytes = loop {
        let Ok(bytes) = encode(&news) else {
            log::error!("cannot encode news of crashes");
            return;
        };
        if bytes.len() <= MAX_DATAGRAM_BYTES || !shorten(&mut news) {
            break bytes;
        }
    };
    let (hubs, members) = members.unwrap_or_default();
    let addrs: BTreeSet<_> = targets.iter().copied().chain(hubs).chain(members).collect();
    for addr in addrs {
        send(socket, addr, &bytes, DatagramKind::Crashes).await;
    }
}

/// Removes a report, or else a notice; false if nothing is left to remove. Of the last report half
/// is kept.
fn shorten(news: &mut CrashNews) -> bool {
    if let [last] = news.reports.as_mut_slice()
        && last.requests.len() > 1
    {
        last.requests.truncate(last.requests.len() / 2);
        return true;
    }
    news.reports.pop().is_some() || news.sound.pop().is_some() || news.quarantines.pop().is_some()
}

fn encode(news: &CrashNews) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = MARKER.to_vec();
    rmp_serde::encode::write(&mut bytes, news)?;
    Ok(bytes)
}

/// Applies a datagram with news of crashes; false if it is something else.
pub(super) fn apply_crash_news(node: &Node, from: SocketAddr, bytes: &[u8]) -> bool {
    let Some(body) = bytes.strip_prefix(&MARKER) else {
        return false;
    };
    match rmp_serde::from_slice::<CrashNews>(body) {
        Ok(news) => {
            let changes = node.crashes.lock().learn(node.clock.now(), &news);
            log_changes(&changes, &from.ip().to_compact_string());
        }
        Err(e) => log::debug!(peer:% = from, error:% = e; "cannot decode news of crashes"),
    }
    true
}

fn log_changes(changes: &[CrashChange], source: &str) {
    for change in changes {
        match change {
            CrashChange::Convicted(suspects, crashes) => {
                log::warn!(suspects = join(suspects).as_str(), crashes = crashes, source = source; "requests that crash endpoints are refused");
            }
            CrashChange::Told(suspects) => {
                log::info!(suspects = join(suspects).as_str(), source = source; "requests that crash endpoints are refused, as another VM was told");
            }
            CrashChange::Acquitted(suspect) => {
                log::info!(suspect:% = suspect, source = source; "requests are no longer refused, as an endpoint answered one");
            }
            CrashChange::Expired(suspects) => {
                log::info!(suspects = join(suspects).as_str(); "requests are no longer refused, as the crashes are long ago");
            }
        }
    }
}

/// Suspects as text, the last one first: the hash of the request, then the deepest part.
fn join(suspects: &[Suspect]) -> CompactString {
    let mut text = CompactString::default();
    for suspect in suspects.iter().rev().take(MAX_SUSPECTS_LOGGED) {
        if !text.is_empty() {
            text.push(',');
        }
        text.push_str(&suspect.to_compact_string());
    }
    text
}
