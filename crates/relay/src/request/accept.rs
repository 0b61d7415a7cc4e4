//! Accepts or refuses a request: finds its route, service and organisation.

use {
    super::routed_request::{Progress, RoutedRequest},
    crate::{configuration::RouteKind, process::Node},
    clock::Instant,
    h1::RequestHead,
    parking_lot::Mutex,
    route::{RequestHash, Suspect},
    siphasher::sip::SipHasher13,
    std::time::Duration,
    types::{AttemptId, Reason, Refusal},
};

/// `Retry-After` while no configuration is known: about the time to read it.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` while this VM shuts down: the caller may retry at once, at another VM.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// An accepted request, or the refusal.
type Accepted = Result<RoutedRequest, Refusal>;

/// Finds the route, service and organisation of a request.
pub(crate) fn accept(node: &Node, head: RequestHead, body: Vec<u8>, arrived: Instant) -> Accepted {
    let Some(config) = node.config() else {
        let refusal = Refusal::not_run(Reason::Unavailable, "no configuration yet");
        return Err(refusal.with_retry_after(NO_CONFIG_RETRY_AFTER));
    };
    let Some(route) = config.route(&head.host(), head.path()) else {
        return Err(Refusal::not_run(Reason::NotFound, "no such route"));
    };
    let caller = node
        .codec
        .parse_request(&head.headers)
        .map_err(|e| Refusal::not_run(Reason::BadRequest, e.to_string()))?;
    let org = if route.open || !config.requires_keys() {
        None
    } else {
        let key = caller.key.as_deref().unwrap_or_default();
        let Some(org) = config.org(key) else {
            return Err(Refusal::not_run(Reason::NoKey, "unknown key"));
        };
        Some(org.clone())
    };
    // A caller that takes a stream up is sent to the service that began it.
    let draw = if route.kind.is_stream() {
        draw_of(caller.first_attempt())
    } else {
        fastrand::f64()
    };
    let service = route.service(draw).cloned();
    let Some(service) = service else {
        return Err(Refusal::not_run(
            Reason::Unavailable,
            "route without a service",
        ));
    };
    let now = node.clock.now();
    let timeout = caller.timeout.unwrap_or(route.timeout);
    let deadline = arrived + timeout.min(route.timeout);
    let may_be_cut = route.kind != RouteKind::Once;
    if !node.lifecycle.accepts(now, deadline, may_be_cut) {
        let refusal = Refusal::not_run(Reason::Stopping, "this VM is about to stop");
        return Err(refusal.with_retry_after(STOPPING_RETRY_AFTER));
    }
    let timely_retry = node.retry_detector.lock().record(&route.id, timeout);
    let tier = org.as_ref().and_then(|o| o.tier).unwrap_or(route.tier);
    let org_id = org.as_ref().map(|o| &o.id);
    let hash = RequestHash::of(&head.method, &head.target, org_id, &body);
    let parts = caller.prompt.iter().flat_map(|p| p.shared_parts());
    let parts = parts.map(|(id, _)| Suspect::Part(*id));
    let suspects = parts.chain([Suspect::Request(hash)]).collect();
    let mut head = head;
    head.headers.strip_hop_by_hop();
    Ok(RoutedRequest {
        deadline,
        route: route.clone(),
        service,
        org,
        tier,
        urgency: config.urgency(tier, route),
        suspects,
        head,
        body,
        version: config.doc.version,
        timely_retry,
        arrived,
        caller,
        progress: Mutex::new(Progress::default()),
        held: node.response_bytes.lease(),
    })
}

/// A number in [0, 1) that is the same for an attempt at all VMs.
pub(crate) fn draw_of(attempt: &AttemptId) -> f64 {
    let hash = SipHasher13::new().hash(attempt.as_str().as_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
