//! One attempt of a request at one endpoint, up to the head of the response.

use {
    super::{routed_request::RoutedRequest, slot_lease::SlotLease, start_proof::prove_start},
    crate::{adapter::ForwardHeaders, process::Node},
    clock::timeout,
    futures_lite::FutureExt,
    h1::{BodyError, BodyReader, Framing, PooledConn, ResponseHead, response_framing},
    std::{sync::Arc, time::Duration},
    types::{Bytes, Verdict},
};

/// Timeout of connecting: enough for two round trips between zones and one lost packet.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which an endpoint that has been silent towards all requests of this VM is given up.
const DEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time of silence after which it is checked whether the endpoint accepts connections.
const CHECK_TIME: Duration = Duration::from_secs(1);
/// Checks in a row in which an endpoint that is given up accepted none: a packet may be lost.
const MIN_REFUSED_CHECKS: u32 = 2;
/// Interval between two checks of whether an endpoint that has not responded yet is silent.
const SILENCE_POLL: Duration = Duration::from_millis(400);
/// Largest head of a response.
const MAX_HEAD: Bytes = Bytes(32 * 1024);
/// Largest body of a buffered response.
const MAX_BODY: Bytes = Bytes(4 * 1024 * 1024);
/// Largest number of late responses to earlier requests that are skipped on one connection.
const MAX_STALE_RESPONSES: usize = 3;

/// A response whose head has arrived and whose body is still to be read.
pub(super) struct PendingResponse {
    pub(super) pooled: PooledConn,
    pub(super) head: ResponseHead,
    pub(super) reader: BodyReader,
    /// Whether the request was written completely; otherwise the connection cannot be reused.
    request_written: bool,
    /// Whether the body ends where the connection is closed.
    until_close: bool,
}

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
    pub(super) outcome: route::PlacementOutcome,
    /// Whether any byte of the request was written.
    pub(super) sent: bool,
}

impl PendingResponse {
    /// Reads the body, and returns the connection to the pool if it can be reused.
    pub(super) async fn read_body(
        mut self,
        node: &Node,
        slot: &SlotLease,
    ) -> Result<(ResponseHead, Vec<u8>), BodyError> {
        let body = self
            .reader
            .read_all(&mut self.pooled.conn, MAX_BODY)
            .await?;
        Ok((self.return_connection(node, slot), body))
    }

    /// Returns the connection to the pool after a complete response, if it can be reused.
    pub(super) fn return_connection(self, node: &Node, slot: &SlotLease) -> ResponseHead {
        if self.request_written && !self.until_close && self.reader.is_done() {
            node.pool
                .put_back(node.clock.now(), slot.addr, self.pooled, &self.head);
        }
        self.head
    }
}

/// Sends the request and reads the head of the response. `opened` is a connection to the endpoint, if
/// there is one already.
pub(super) async fn attempt(
    node: &Arc<Node>,
    request: &RoutedRequest,
    slot: &SlotLease,
    spec: AttemptSpec,
    opened: Option<PooledConn>,
) -> Result<PendingResponse, FailedAttempt> {
    let pooled = match opened {
        Some(opened) => opened,
        None => connect(node, request, slot, spec.proven).await?,
    };
    let quarantined = node.quarantine(request).is_some();
    if quarantined || !node.still_accepts(slot) {
        let cause = if quarantined {
            "others like it crashed endpoints"
        } else {
            "endpoint closed to new requests"
        };
        request.connect_failed(slot.endpoint(), cause);
        return Err(FailedAttempt {
            verdict: Verdict::NotRun,
            cause,
            outcome: route::PlacementOutcome::Unsent,
            sent: false,
        });
    }
    request.start_send(slot.endpoint(), slot.release.as_ref(), pooled.reused);
    let dead = async {
        until_dead(node, request, slot).await;
        node.pool.remove_addr(slot.addr);
        Err("no answer from the endpoint")
    };
    let answer = exchange(node, request, slot, pooled, spec.last_event);
    match answer.or(dead).await {
        Ok(pending) => check_not_run(node, request, slot, pending).await,
        Err(cause) => {
            node.note_cut(request, slot, cause);
            request.end_send(Verdict::MayHaveRun, Some(cause));
            Err(FailedAttempt {
                verdict: Verdict::MayHaveRun,
                cause,
                outcome: route::PlacementOutcome::Failed,
                sent: true,
            })
        }
    }
}

/// Resolves when the endpoint is given up: it has restarted, or has been silent towards all requests of
/// this VM for long and accepts no connections. At the first sign of that, the request is suspected to
/// have crashed it.
pub(super) async fn until_dead(node: &Arc<Node>, request: &RoutedRequest, slot: &SlotLease) {
    let began = node.clock.now();
    let start = slot.endpoint_start();
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
        if quiet >= CHECK_TIME {
            if quiet >= DEAD_TIMEOUT && node.refused_checks(slot.addr) >= MIN_REFUSED_CHECKS {
                return;
            }
            node.check_connections(slot);
        }
        node.clock.sleep(SILENCE_POLL).await;
    }
}

/// Opens a connection to the endpoint of a slot, or takes an idle one; with `proven`, one on which the
/// endpoint has said that it is the listed process.
pub(super) async fn open(
    node: &Node,
    request: &RoutedRequest,
    slot: &SlotLease,
    proven: bool,
) -> Result<PooledConn, &'static str> {
    let now = node.clock.now();
    // Without a listed start time there is nothing to compare with.
    let proven = proven && slot.born != 0;
    let opening = async {
        if proven {
            let pool = &node.pool;
            return pool.take_proven_or_connect(now, slot.addr, slot.born).await;
        }
        node.pool.take_or_connect(now, slot.addr).await
    };
    let pooled = match timeout(&*node.clock, CONNECT_TIMEOUT, opening).await {
        Ok(Ok(pooled)) => pooled,
        Ok(Err(_)) => return Err("connection refused"),
        Err(_) => return Err("connection timed out"),
    };
    let kind = if pooled.reused { "reused" } else { "new" };
    metrics::counter!("celerystage_endpoint_connections_total", "kind" => kind).increment(1);
    if proven {
        return prove_start(node, request, slot, pooled).await;
    }
    Ok(pooled)
}

async fn connect(
    node: &Node,
    request: &RoutedRequest,
    slot: &SlotLease,
    proven: bool,
) -> Result<PooledConn, FailedAttempt> {
    open(node, request, slot, proven).await.map_err(|cause| {
        request.connect_failed(slot.endpoint(), cause);
        node.pool.remove_addr(slot.addr);
        FailedAttempt {
            verdict: Verdict::NotRun,
            cause,
            outcome: route::PlacementOutcome::Unreachable,
            sent: false,
        }
    })
}

async fn exchange(
    node: &Node,
    request: &RoutedRequest,
    slot: &SlotLease,
    mut pooled: PooledConn,
    last_event: Option<u64>,
) -> Result<PendingResponse, &'static str> {
    let bytes = request_bytes(node, request, slot, last_event);
    let conn = &mut pooled.conn;
    let first = conn.exchange(&bytes, MAX_HEAD).await;
    let (mut head, request_written) = first.map_err(|_| "connection lost before an answer")?;
    for _ in 0..MAX_STALE_RESPONSES {
        let framing =
            response_framing(&head, &request.head.method).map_err(|_| "malformed answer")?;
        let parsed = node.codec.parse_response(&head);
        node.note_response(slot, request, (head.status, &parsed));
        let matches_request = parsed.id.as_ref() == Some(&request.caller.id);
        if matches_request || (parsed.id.is_none() && head.status >= 300) {
            return Ok(PendingResponse {
                pooled,
                head,
                reader: BodyReader::new(framing),
                request_written,
                until_close: framing == Framing::Close,
            });
        }
        log::warn!(request:% = request.caller.id, endpoint:% = slot.endpoint(), status = head.status; "skipped a late response to another request");
        let mut rest = BodyReader::new(framing);
        let skipped = rest.read_all(conn, MAX_BODY).await;
        skipped.map_err(|_| "malformed answer")?;
        let next = conn.response_head(MAX_HEAD).await;
        head = next.map_err(|_| "connection lost before an answer")?;
    }
    Err("too many answers to other requests")
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
        node.pool.remove_addr(slot.addr);
    } else if let Err(e) = pending.read_body(node, slot).await {
        log::debug!(endpoint:% = slot.endpoint(), error:% = e; "incomplete body of a refusal");
    }
    let outcome = if parsed.misdirected {
        route::PlacementOutcome::Unreachable
    } else {
        route::PlacementOutcome::Refused
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
        timeout: Some(request.deadline.since(node.clock.now())),
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
