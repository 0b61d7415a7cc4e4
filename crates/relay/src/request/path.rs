//! The way of a request to its endpoint: a connection of this VM, or one to a VM that carries it.

use {
    super::{
        carried_request::{CARRY_LOSS, CARRY_PATH, CARRY_REFUSAL, CarriedRequest},
        close_check::CloseCheck,
        endpoint_call::{EndpointCall, EndpointResponse, MAX_BODY, MAX_HEAD},
        endpoint_target::EndpointTarget,
        routed_request::RoutedRequest,
        slot_lease::SlotLease,
    },
    crate::process::{ByteLease, CarrierLease, Node},
    clock::timeout,
    compact_str::CompactString,
    detour::CarryRefusal,
    futures_lite::FutureExt,
    h1::{
        BodyError, BodyReader, Framing, Headers, PooledConn, RequestHead, ResponseHead,
        response_framing,
    },
    std::{sync::Arc, time::Duration},
    types::VmId,
};

/// Timeout of connecting to a carrier.
const CARRIER_TIMEOUT: Duration = Duration::from_millis(400);
/// Carriers that are tried for a connection.
const MAX_CARRIERS: usize = 3;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Attempt that a probe names; it sends no request.
const PROBE_ATTEMPT: &str = "probe";

/// A connection on which a request gets to its endpoint.
pub(super) struct Path {
    pub(super) pooled: PooledConn,
    /// The VM at the other end, unless that is the endpoint itself.
    carrier: Option<CarrierLease>,
}

/// What became of a request that was sent.
pub(super) enum SendOutcome {
    /// The head of the response is there.
    Answered(Box<PendingResponse>),
    /// The carrier has not sent it to the endpoint.
    NotCarried(CarryRefusal),
    /// It may have run.
    Lost(&'static str),
}

/// A response whose head has arrived and whose body is still to be read.
pub(super) struct PendingResponse {
    pub(super) path: Path,
    pub(super) head: ResponseHead,
    pub(super) reader: BodyReader,
    /// Whether the request was written completely; otherwise the connection cannot be reused.
    request_written: bool,
    /// Whether the body ends where the connection is closed.
    until_close: bool,
}

impl From<PooledConn> for Path {
    fn from(pooled: PooledConn) -> Self {
        Self {
            pooled,
            carrier: None,
        }
    }
}

impl Path {
    /// Opens a connection to a VM that reaches the endpoints, other than `avoid`.
    pub(super) async fn through_carrier(
        node: &Arc<Node>,
        slot: &SlotLease,
        avoid: &[VmId],
    ) -> Option<Self> {
        let mut avoid = avoid.to_vec();
        for _ in 0..MAX_CARRIERS {
            let carrier = node.acquire_carrier(&slot.target.id, &avoid)?;
            let opening = node.pool.take_or_connect(node.clock.now(), carrier.addr());
            match timeout(&*node.clock, CARRIER_TIMEOUT, opening).await {
                Ok(Ok(pooled)) => {
                    return Some(Self {
                        pooled,
                        carrier: Some(carrier),
                    });
                }
                Ok(Err(e)) => {
                    log::info!(vm:% = carrier.vm(), error:% = e; "no connection to a VM that carries requests");
                }
                Err(_) => {
                    log::info!(vm:% = carrier.vm(), error = "timed out"; "no connection to a VM that carries requests");
                }
            }
            node.pool.remove_addr(carrier.addr());
            avoid.push(carrier.vm().clone());
            carrier.fail();
        }
        None
    }

    /// The VM that carries the request; `None` if it goes directly.
    pub(super) fn carrier(&self) -> Option<&VmId> {
        self.carrier.as_ref().map(CarrierLease::vm)
    }

    /// Sends a request and reads the head of the response. One that may be repeated is given up when its
    /// carrier is no longer heard of.
    pub(super) async fn send(
        self,
        call: EndpointCall<'_>,
        carried: CarriedRequest,
        may_repeat: bool,
    ) -> SendOutcome {
        let Some(lease) = self.carrier else {
            let CarriedRequest { method, bytes, .. } = carried;
            return match call.exchange(self.pooled, &method, &bytes).await {
                Ok(response) => SendOutcome::Answered(Box::new(PendingResponse::direct(response))),
                Err(cause) => SendOutcome::Lost(cause),
            };
        };
        let (node, vm) = (call.node, lease.vm().clone());
        let answer = send_to_carrier(call, self.pooled, lease, &carried);
        if !may_repeat {
            return answer.await;
        }
        let lost = async {
            node.until_carrier_lost(&vm).await;
            SendOutcome::Lost("carrying VM went silent")
        };
        answer.or(lost).await
    }
}

async fn send_to_carrier(
    call: EndpointCall<'_>,
    mut pooled: PooledConn,
    lease: CarrierLease,
    carried: &CarriedRequest,
) -> SendOutcome {
    let Ok(body) = rmp_serde::to_vec(carried) else {
        log::error!(request:% = call.attempt; "cannot encode a request for another VM");
        return SendOutcome::NotCarried(CarryRefusal::Closed);
    };
    let bytes = carry_call(&lease, &body);
    let sent = pooled.conn.exchange(&bytes, MAX_HEAD).await;
    let Ok((head, request_written)) = sent else {
        lease.fail();
        return SendOutcome::Lost("connection to the carrying VM lost before an answer");
    };
    if let Some(text) = head.headers.get(CARRY_REFUSAL) {
        let refusal = text.parse().unwrap_or(CarryRefusal::Closed);
        if refusal.is_of_carrier() {
            lease.fail();
        }
        let addr = lease.addr();
        call.node
            .pool
            .put_back(call.node.clock.now(), addr, pooled, &head);
        return SendOutcome::NotCarried(refusal);
    }
    if head.headers.get(CARRY_LOSS).is_some() {
        return SendOutcome::Lost("connection lost before an answer at the carrying VM");
    }
    let Ok(framing) = response_framing(&head, "POST") else {
        return SendOutcome::Lost("malformed answer");
    };
    let parsed = call.node.codec.parse_response(&head);
    call.node
        .note_response(call.target, call.attempt, (head.status, &parsed));
    SendOutcome::Answered(Box::new(PendingResponse {
        path: Path {
            pooled,
            carrier: Some(lease),
        },
        head,
        reader: BodyReader::new(framing),
        request_written,
        until_close: framing == Framing::Close,
    }))
}

/// The bytes of a call of a carrier.
fn carry_call(lease: &CarrierLease, body: &[u8]) -> Vec<u8> {
    let mut head = carry_head();
    head.headers.push("Host", lease.addr().to_string());
    head.headers.push("Content-Length", body.len().to_string());
    let mut bytes = Vec::with_capacity(256 + body.len());
    head.write(&mut bytes);
    bytes.extend_from_slice(body);
    bytes
}

fn carry_head() -> RequestHead {
    RequestHead {
        method: "POST".into(),
        target: CARRY_PATH.into(),
        minor_version: 1,
        headers: Headers::default(),
    }
}

impl PendingResponse {
    /// The response of an endpoint to this VM.
    pub(super) fn direct(response: EndpointResponse) -> Self {
        let EndpointResponse {
            pooled,
            head,
            framing,
            request_written,
        } = response;
        Self {
            path: pooled.into(),
            head,
            reader: BodyReader::new(framing),
            request_written,
            until_close: framing == Framing::Close,
        }
    }

    /// Appends the next bytes of the body to `out`; returns `false` at its end. Where only the close of the
    /// connection shows the end, `check` confirms it.
    pub(super) async fn next(
        &mut self,
        check: Option<CloseCheck<'_>>,
        out: &mut Vec<u8>,
    ) -> Result<bool, BodyError> {
        let conn = &mut self.path.pooled.conn;
        let has_more = self.reader.next(conn, out).await?;
        if let Some(check) = check.filter(|_| self.until_close && !has_more) {
            check.confirm().await?;
        }
        Ok(has_more)
    }

    /// Reads the body of a response that is sent to the caller, with a check of its end where only the close of
    /// the connection shows it.
    pub(super) async fn read_checked(
        self,
        node: &Node,
        slot: &SlotLease,
        request: &RoutedRequest,
    ) -> Result<(ResponseHead, Vec<u8>), BodyError> {
        let until_close = self.until_close;
        let response = self.read_body(node, slot, &request.held).await?;
        if until_close {
            let check = CloseCheck::new(node, slot.target.addr, &request.caller.id);
            check.confirm().await?;
        }
        Ok(response)
    }

    /// Reads the body, and returns the connection to the pool if it can be reused.
    pub(super) async fn read_body(
        mut self,
        node: &Node,
        slot: &SlotLease,
        held: &ByteLease,
    ) -> Result<(ResponseHead, Vec<u8>), BodyError> {
        let conn = &mut self.path.pooled.conn;
        let has_room = |size| held.grow_to(size);
        let read = self.reader.read_within(conn, MAX_BODY, has_room).await;
        if matches!(read, Err(BodyError::NoRoom)) {
            log::warn!(endpoint:% = slot.endpoint(); "response given up: no memory left for its body");
            metrics::counter!("celerystage_responses_without_room_total").increment(1);
        }
        let body = read?;
        Ok((self.return_connection(node, slot.target.addr), body))
    }

    /// Returns the connection to the pool after a complete response, if it can be reused. `endpoint` is the
    /// address of the endpoint.
    pub(super) fn return_connection(
        self,
        node: &Node,
        endpoint: std::net::SocketAddr,
    ) -> ResponseHead {
        if self.request_written && !self.until_close && self.reader.is_done() {
            let Path { pooled, carrier } = self.path;
            let addr = carrier.as_ref().map_or(endpoint, CarrierLease::addr);
            node.pool
                .put_back(node.clock.now(), addr, pooled, &self.head);
        }
        self.head
    }
}

/// What an endpoint does with the connections of a carrier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probe {
    Accepts,
    Refuses,
    Silent,
}

/// Has a carrier find out whether an endpoint accepts connections; `None` if none can tell.
pub(crate) async fn probe(node: &Arc<Node>, target: &EndpointTarget) -> Option<Probe> {
    let lease = node.acquire_carrier(&target.id, &[])?;
    let carried = CarriedRequest {
        vm: node.settings.vm.clone(),
        service: target.service.clone(),
        endpoint: target.id.clone(),
        born: target.born,
        attempt: PROBE_ATTEMPT.parse().ok()?,
        proven: false,
        timeout_ms: PROBE_TIMEOUT.as_millis() as u64,
        method: CompactString::default(),
        bytes: Vec::new(),
    };
    let body = match rmp_serde::to_vec(&carried) {
        Ok(body) => body,
        Err(e) => {
            log::error!(error:% = e; "cannot encode a probe");
            return None;
        }
    };
    let limits = (PROBE_TIMEOUT, MAX_HEAD);
    let head = carry_head();
    let response = h1::call(
        &*node.clock,
        &node.pool,
        lease.addr(),
        (head, &body),
        limits,
    )
    .await;
    let response = match response {
        Ok(response) => response,
        Err(e) => {
            log::info!(vm:% = lease.vm(), error:% = e; "no answer to a probe from the carrying VM");
            lease.fail();
            return None;
        }
    };
    let Some(text) = response.head.headers.get(CARRY_REFUSAL) else {
        return (response.head.status == 200).then_some(Probe::Accepts);
    };
    match text.parse() {
        Ok(CarryRefusal::Refused) => Some(Probe::Refuses),
        Ok(CarryRefusal::Unreachable) => Some(Probe::Silent),
        _ => None,
    }
}
