//! One attempt of a request at one endpoint, up to the head of the response.

use {
    super::{
        carried_request::CarriedRequest,
        endpoint_call::{EndpointCall, OpenFailure},
        path::{Path, PendingResponse, SendOutcome},
        routed_request::RoutedRequest,
        slot_lease::SlotLease,
    },
    crate::{adapter::ForwardHeaders, process::Node},
    detour::{CarryRefusal, Link},
    futures_lite::FutureExt,
    route::PlacementOutcome,
    std::{sync::Arc, time::Duration},
    types::{Verdict, VmId},
};

/// Time after which an endpoint that has been silent towards all requests of this VM is given up.
const DEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a request that may go on through another VM, while this one reaches no endpoint.
const CUT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time of silence after which it is checked whether the endpoint accepts connections.
const CHECK_TIME: Duration = Duration::from_secs(1);
/// Checks in a row in which an endpoint that is given up accepted none: a packet may be lost.
const MIN_REFUSED_CHECKS: u32 = 2;
/// Interval between two checks of whether an endpoint that has not responded yet is silent.
const SILENCE_POLL: Duration = Duration::from_millis(400);
/// Carriers that a request is sent to until one takes it.
const MAX_CARRIERS: usize = 3;

/// What an attempt needs beside the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct AttemptSpec {
    /// Event after which a stream resumes.
    pub(super) last_event: Option<u64>,
    /// Whether the endpoint must prove that it hasn't restarted since it was listed.
    pub(super) proven: bool,
}

/// An attempt that brought no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FailedAttempt {
    pub(super) verdict: Verdict,
    pub(super) cause: &'static str,
    pub(super) outcome: PlacementOutcome,
    /// Whether any byte of the request was written.
    pub(super) sent: bool,
}

impl FailedAttempt {
    /// Nothing was sent to the endpoint.
    fn unsent(cause: &'static str, outcome: PlacementOutcome) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            outcome,
            sent: false,
        }
    }
}

/// Sends the request and reads the head of the response. `opened` is a connection for it, if there is
/// one already.
pub(super) async fn attempt(
    node: &Arc<Node>,
    request: &RoutedRequest,
    slot: &SlotLease,
    spec: AttemptSpec,
    opened: Option<Path>,
) -> Result<PendingResponse, FailedAttempt> {
    let mut path = match opened {
        Some(opened) => opened,
        None => connect(node, request, slot, spec.proven).await?,
    };
    let mut tried: Vec<VmId> = Vec::new();
    loop {
        let quarantined = node.quarantine(request).is_some();
        if quarantined || !node.still_accepts(&slot.target) {
            let cause = if quarantined {
                "others like it crashed endpoints"
            } else {
                "endpoint closed to new requests"
            };
            request.connect_failed(slot.endpoint(), cause);
            return Err(FailedAttempt::unsent(cause, PlacementOutcome::Unsent));
        }
        tried.extend(path.carrier().cloned());
        request.start_send(slot, &path);
        match send(node, request, slot, spec, path).await {
            SendOutcome::Answered(pending) => {
                return check_not_run(node, request, slot, *pending).await;
            }
            SendOutcome::Lost(cause) => {
                node.note_cut(request, slot, cause);
                request.end_send(Verdict::MayHaveRun, Some(cause));
                return Err(FailedAttempt {
                    verdict: Verdict::MayHaveRun,
                    cause,
                    outcome: PlacementOutcome::Failed,
                    sent: true,
                });
            }
            SendOutcome::NotCarried(refusal) => {
                let cause = not_carried(refusal);
                request.cancel_send(cause);
                let next = if refusal.is_of_carrier() && tried.len() < MAX_CARRIERS {
                    Path::through_carrier(node, slot, &tried).await
                } else {
                    None
                };
                let Some(next) = next else {
                    let outcome = match refusal {
                        CarryRefusal::Refused | CarryRefusal::Unreachable => {
                            PlacementOutcome::Unreachable
                        }
                        _ => PlacementOutcome::Unsent,
                    };
                    return Err(FailedAttempt::unsent(cause, outcome));
                };
                path = next;
            }
        }
    }
}

/// Sends the request over a path, until the head of the response is there or the endpoint is given up.
async fn send(
    node: &Arc<Node>,
    request: &RoutedRequest,
    slot: &SlotLease,
    spec: AttemptSpec,
    path: Path,
) -> SendOutcome {
    let carried = CarriedRequest {
        vm: node.settings.vm.clone(),
        service: slot.target.service.clone(),
        endpoint: slot.target.id.clone(),
        born: slot.target.born,
        attempt: request.caller.id.clone(),
        proven: spec.proven,
        timeout_ms: request.remaining(node.clock.now()).as_millis() as u64,
        method: request.head.method.as_str().into(),
        bytes: request_bytes(node, request, slot, spec.last_event),
    };
    let dead = async {
        until_dead(node, request, slot).await;
        node.pool.remove_addr(slot.target.addr);
        SendOutcome::Lost("no answer from the endpoint")
    };
    let call = endpoint_call(node, request, slot);
    let may_repeat = request.route.kind.is_idempotent();
    path.send(call, carried, may_repeat).or(dead).await
}

fn endpoint_call<'a>(
    node: &'a Node,
    request: &'a RoutedRequest,
    slot: &'a SlotLease,
) -> EndpointCall<'a> {
    EndpointCall {
        node,
        target: &slot.target,
        attempt: &request.caller.id,
    }
}

fn not_carried(refusal: CarryRefusal) -> &'static str {
    match refusal {
        CarryRefusal::Cut => "carrying VM reaches no endpoint",
        CarryRefusal::Busy => "carrying VM is busy",
        CarryRefusal::Stopping => "carrying VM shuts down",
        CarryRefusal::Refused => "connection of the carrying VM refused",
        CarryRefusal::Unreachable => "connection of the carrying VM timed out",
        CarryRefusal::Closed => "endpoint closed to the carrying VM",
    }
}

/// Resolves when the endpoint is given up: it has restarted, or has been silent towards all requests of
/// this VM for long and accepts no connections. At the first sign of that, the request is suspected to
/// have crashed it.
pub(super) async fn until_dead(node: &Arc<Node>, request: &RoutedRequest, slot: &SlotLease) {
    let began = node.clock.now();
    let start = slot.target.start();
    let mut suspected = false;
    loop {
        let restarted = node.has_restarted(&start);
        let silent = node.is_silent(&request.service, slot.endpoint());
        if (restarted || silent) && !std::mem::replace(&mut suspected, true) {
            node.suspect_crash(request, slot);
        }
        if restarted {
            return;
        }
        let waited = node.clock.now().since(began);
        let quiet = node.activity(slot).map_or(waited, |a| a.last.min(waited));
        let cut = node.link() == Link::Cut;
        if cut && quiet >= CUT_TIMEOUT && request.route.kind.is_idempotent() {
            return;
        }
        if quiet >= CHECK_TIME {
            if quiet >= DEAD_TIMEOUT && node.refused_checks(slot.target.addr) >= MIN_REFUSED_CHECKS
            {
                return;
            }
            node.check_connections(slot);
        }
        node.clock.sleep(SILENCE_POLL).await;
    }
}

/// Opens a connection on which a request gets to the endpoint of a slot: one of this VM, or one to a VM
/// that carries it while this one reaches no endpoint. With `proven`, the endpoint must say on the
/// connection that it is the listed process; a carrier sees to that when it gets the request.
pub(super) async fn open(
    node: &Arc<Node>,
    request: &RoutedRequest,
    slot: &SlotLease,
    proven: bool,
) -> Result<Path, &'static str> {
    let call = endpoint_call(node, request, slot);
    if !node.is_connected() {
        if let Some(path) = Path::through_carrier(node, slot, &[]).await {
            return Ok(path);
        }
        // A suspicion may be wrong, and there may be no other VM.
        let opened = call.open(proven).await;
        return opened.map(Path::from).map_err(OpenFailure::cause);
    }
    match call.open(proven).await {
        Ok(pooled) => Ok(pooled.into()),
        Err(failure) if node.is_connected() => Err(failure.cause()),
        Err(failure) => {
            let carried = Path::through_carrier(node, slot, &[]).await;
            carried.ok_or(failure.cause())
        }
    }
}

async fn connect(
    node: &Arc<Node>,
    request: &RoutedRequest,
    slot: &SlotLease,
    proven: bool,
) -> Result<Path, FailedAttempt> {
    open(node, request, slot, proven).await.map_err(|cause| {
        request.connect_failed(slot.endpoint(), cause);
        node.pool.remove_addr(slot.target.addr);
        FailedAttempt::unsent(cause, PlacementOutcome::Unreachable)
    })
}

/// Turns a response that says that the request did not run into a failed attempt.
async fn check_not_run(
    node: &Arc<Node>,
    request: &RoutedRequest,
    slot: &SlotLease,
    pending: PendingResponse,
) -> Result<PendingResponse, FailedAttempt> {
    let parsed = node.codec.parse_response(&pending.head);
    if !parsed.not_run && !parsed.misdirected {
        return Ok(pending);
    }
    let cause = if parsed.misdirected {
        "another endpoint has the address"
    } else {
        "endpoint refused"
    };
    request.end_send(Verdict::NotRun, Some(cause));
    if parsed.misdirected {
        node.pool.remove_addr(slot.target.addr);
    } else if let Err(e) = pending.read_body(node, slot, &request.held).await {
        log::debug!(endpoint:% = slot.endpoint(), error:% = e; "incomplete body of a refusal");
    }
    let outcome = if parsed.misdirected {
        PlacementOutcome::Unreachable
    } else {
        PlacementOutcome::Refused
    };
    Err(FailedAttempt {
        verdict: Verdict::NotRun,
        cause,
        outcome,
        sent: true,
    })
}

fn request_bytes(
    node: &Node,
    request: &RoutedRequest,
    slot: &SlotLease,
    last_event: Option<u64>,
) -> Vec<u8> {
    let mut head = request.head.clone();
    let forwarded = ForwardHeaders {
        endpoint: slot.endpoint(),
        timeout: Some(request.remaining(node.clock.now())),
        org: request.org.as_ref().map(|o| &o.id),
        urgency: request.caller.prompt.as_ref().map(|_| request.urgency),
        last_event,
        kv_source: slot.kv_source,
    };
    node.codec.rewrite_request(&mut head.headers, &forwarded);
    if !request.body.is_empty() || head.method != "GET" {
        head.headers
            .push("Content-Length", request.body.len().to_string());
    }
    let mut bytes = Vec::with_capacity(1024 + request.body.len());
    head.write(&mut bytes);
    bytes.extend_from_slice(&request.body);
    bytes
}
