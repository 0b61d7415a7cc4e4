//! Takes requests of other VMs to their endpoints.

use {
    super::{
        carried_request::{CARRY_LOSS, CARRY_REFUSAL, CarriedRequest},
        close_check::CloseCheck,
        endpoint_call::{CONNECT_TIMEOUT, EndpointCall, EndpointResponse},
        endpoint_target::EndpointTarget,
        path::PendingResponse,
    },
    crate::process::Node,
    clock::{Elapsed, timeout},
    detour::CarryRefusal,
    futures_lite::FutureExt,
    h1::{Conn, Framing, ResponseHead},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    types::Bytes,
};

/// Timeout of a write to the other VM.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Size of a carried request beyond what callers may send.
pub(crate) const CARRY_OVERHEAD: Bytes = Bytes(64 * 1024);

/// What became of a carried request.
enum CarryOutcome {
    /// Whether the endpoint accepts connections was all that was asked.
    Probed,
    Refused(CarryRefusal),
    /// With the address of the endpoint.
    Answered(EndpointResponse, SocketAddr),
    Lost(&'static str),
    /// The other VM has closed the connection.
    Left,
}

/// Serves a carried request; `None` if the connection has to be closed.
pub(crate) async fn serve_carried(node: &Arc<Node>, conn: &mut Conn, body: &[u8]) -> Option<()> {
    let Ok(carried) = rmp_serde::from_slice::<CarriedRequest>(body) else {
        log::warn!("cannot decode a request of another VM");
        return None;
    };
    let began = node.clock.now();
    let _open = node.lifecycle.open_request();
    let _connection = node.lifecycle.open_connection();
    let limit = Duration::from_millis(carried.timeout_ms);
    let left = async {
        conn.wait_closed().await;
        CarryOutcome::Left
    };
    let permit = node.begin_carry();
    let work = async {
        match &permit {
            Some(_) => carry(node, &carried).await,
            None => CarryOutcome::Refused(CarryRefusal::Busy),
        }
    };
    let outcome = timeout(&*node.clock, limit, work.or(left)).await;
    let outcome = outcome.unwrap_or_else(|Elapsed| CarryOutcome::Lost("no answer in time"));
    let (status, result) = match &outcome {
        CarryOutcome::Probed => (200, "probed"),
        CarryOutcome::Refused(refusal) => (503, refusal.as_str()),
        CarryOutcome::Answered(response, _) => (response.head.status, "answered"),
        CarryOutcome::Lost(cause) => (502, *cause),
        CarryOutcome::Left => (0, "left"),
    };
    log::info!(
        request:% = carried.attempt, vm:% = carried.vm, endpoint:% = carried.endpoint, status = status, result = result,
        took_ms = node.clock.now().since(began).as_millis() as u64;
        "request of another VM"
    );
    metrics::counter!("celerystage_carried_total", "result" => result).increment(1);
    match outcome {
        CarryOutcome::Probed => write_own(node, conn, status, None).await,
        CarryOutcome::Refused(refusal) => {
            write_own(node, conn, status, Some((CARRY_REFUSAL, refusal.as_str()))).await
        }
        CarryOutcome::Lost(cause) => write_own(node, conn, status, Some((CARRY_LOSS, cause))).await,
        CarryOutcome::Left => None,
        CarryOutcome::Answered(response, addr) => {
            let end = began + limit;
            let remaining = end.since(node.clock.now());
            let forwarding = forward(node, conn, (response, addr), &carried);
            timeout(&*node.clock, remaining, forwarding).await.ok()?
        }
    }
}

/// Sends a request to its endpoint and reads the head of the response.
async fn carry(node: &Arc<Node>, carried: &CarriedRequest) -> CarryOutcome {
    let target = match resolve(node, carried) {
        Ok(target) => target,
        Err(refusal) => return CarryOutcome::Refused(refusal),
    };
    let call = EndpointCall {
        node,
        target: &target,
        attempt: &carried.attempt,
    };
    if carried.bytes.is_empty() {
        return match node.open_spare(target.addr, CONNECT_TIMEOUT).await {
            Ok(Ok(())) => CarryOutcome::Probed,
            Ok(Err(_)) => CarryOutcome::Refused(CarryRefusal::Refused),
            Err(Elapsed) => CarryOutcome::Refused(CarryRefusal::Unreachable),
        };
    }
    let pooled = match call.open(carried.proven).await {
        Ok(pooled) => pooled,
        Err(failure) => {
            node.pool.remove_addr(target.addr);
            return CarryOutcome::Refused(failure.into());
        }
    };
    if !node.still_accepts(&target) {
        return CarryOutcome::Refused(CarryRefusal::Closed);
    }
    match call.exchange(pooled, &carried.method, &carried.bytes).await {
        Ok(response) => CarryOutcome::Answered(response, target.addr),
        Err(cause) => CarryOutcome::Lost(cause),
    }
}

/// The endpoint of a carried request, as this VM knows it.
fn resolve(node: &Node, carried: &CarriedRequest) -> Result<EndpointTarget, CarryRefusal> {
    let now = node.clock.now();
    let until = now + Duration::from_millis(carried.timeout_ms);
    // A carrier doesn't know whether a request is idempotent. The sender retries at another carrier.
    if !node.lifecycle.accepts(now, until, false) {
        return Err(CarryRefusal::Stopping);
    }
    if !node.is_connected() {
        return Err(CarryRefusal::Cut);
    }
    // An endpoint that leaves may be probed, as requests still wait for it.
    let probed = carried.bytes.is_empty();
    let registry = node.registry.lock();
    let listed = registry.get(&carried.endpoint);
    let listed = listed.filter(|e| probed || !e.leaving);
    let listed = listed.filter(|e| e.service == carried.service && e.born == carried.born);
    let endpoint = listed.ok_or(CarryRefusal::Closed)?;
    let target = EndpointTarget {
        service: endpoint.service.clone(),
        id: endpoint.id.clone(),
        addr: endpoint.addr,
        born: endpoint.born,
    };
    drop(registry);
    if !probed && !node.still_accepts(&target) {
        return Err(CarryRefusal::Closed);
    }
    Ok(target)
}

/// Writes a response of this VM itself.
async fn write_own(
    node: &Node,
    conn: &mut Conn,
    status: u16,
    field: Option<(&'static str, &'static str)>,
) -> Option<()> {
    let mut head = ResponseHead::new(status);
    if let Some((name, value)) = field {
        head.headers.push(name, value);
    }
    head.headers.push("Content-Length", "0");
    let mut bytes = Vec::new();
    head.write(&mut bytes);
    write(node, conn, &bytes).await
}

async fn write(node: &Node, conn: &mut Conn, bytes: &[u8]) -> Option<()> {
    let written = timeout(&*node.clock, WRITE_TIMEOUT, conn.write_all(bytes)).await;
    written.ok()?.ok()
}

/// Forwards the response of an endpoint, in chunks as they come. A response that breaks off ends without
/// its last chunk.
async fn forward(
    node: &Arc<Node>,
    conn: &mut Conn,
    (response, addr): (EndpointResponse, SocketAddr),
    carried: &CarriedRequest,
) -> Option<()> {
    let mut head = response.head.clone();
    head.headers.strip_hop_by_hop();
    for field in [CARRY_REFUSAL, CARRY_LOSS] {
        head.headers.remove(field);
    }
    let has_body = response.framing != Framing::Length(0);
    if has_body {
        head.headers.push("Transfer-Encoding", "chunked");
    } else {
        head.headers.push("Content-Length", "0");
    }
    let mut bytes = Vec::new();
    head.write(&mut bytes);
    write(node, conn, &bytes).await?;
    let mut pending = PendingResponse::direct(response);
    if has_body {
        let check = CloseCheck::new(node, addr, &carried.attempt);
        forward_body(node, conn, &mut pending, (carried, check)).await?;
    }
    pending.return_connection(node, addr);
    Some(())
}

async fn forward_body(
    node: &Arc<Node>,
    conn: &mut Conn,
    pending: &mut PendingResponse,
    (carried, check): (&CarriedRequest, CloseCheck<'_>),
) -> Option<()> {
    let mut body = Vec::new();
    loop {
        body.clear();
        let reading = pending.next(Some(check), &mut body);
        let reading = async { Some(reading.await) };
        let left = async {
            conn.wait_closed().await;
            None
        };
        match reading.or(left).await? {
            Ok(true) if body.is_empty() => {}
            Ok(true) => {
                node.record_heard();
                let mut chunk = format!("{:x}\r\n", body.len()).into_bytes();
                chunk.extend_from_slice(&body);
                chunk.extend_from_slice(b"\r\n");
                write(node, conn, &chunk).await?;
            }
            Ok(false) => return write(node, conn, b"0\r\n\r\n").await,
            Err(e) => {
                log::info!(request:% = carried.attempt, endpoint:% = carried.endpoint, error:% = e; "response for another VM broke off");
                return None;
            }
        }
    }
}
