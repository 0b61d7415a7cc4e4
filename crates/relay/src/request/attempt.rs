//! One send of a request to one endpoint, up to the head of its answer.

use {
    super::{job::Job, slot::Slot},
    crate::{port::Hop, process::Node},
    clock::within,
    h1::{BodyError, BodyReader, Conn, Framing, ResponseHead, response_framing},
    std::{sync::Arc, time::Duration},
    types::{Bytes, Verdict},
};

/// Time for a new connection: two round trips between zones and one lost packet.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);
/// Largest head of an answer.
const HEAD_LIMIT: Bytes = Bytes(32 * 1024);
/// Largest body of an answer that is read whole.
const BODY_LIMIT: Bytes = Bytes(4 * 1024 * 1024);
/// Most late answers to earlier requests that are skipped on one connection.
const MOST_STALE: usize = 3;

/// An answer whose head has arrived.
pub(super) struct Answering {
    pub(super) conn: Conn,
    pub(super) head: ResponseHead,
    pub(super) reader: BodyReader,
    /// Whether the request was written whole, so that the connection can carry another.
    whole: bool,
    /// Whether the body ends with the connection.
    ends_conn: bool,
}

/// A send that brought no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Miss {
    pub(super) verdict: Verdict,
    pub(super) cause: &'static str,
    pub(super) ended: route::PlacementOutcome,
    /// Whether any byte of the request was written.
    pub(super) sent: bool,
}

impl Answering {
    /// Reads the rest of the body and keeps the connection if it is fit for another request.
    pub(super) async fn finish(
        mut self,
        node: &Node,
        slot: &Slot,
    ) -> Result<(ResponseHead, Vec<u8>), BodyError> {
        let body = self.reader.read_all(&mut self.conn, BODY_LIMIT).await?;
        Ok((self.keep(node, slot), body))
    }

    /// Keeps the connection after a whole answer.
    pub(super) fn keep(self, node: &Node, slot: &Slot) -> ResponseHead {
        if self.whole && !self.ends_conn && self.reader.is_done() {
            node.pool
                .put_back(node.clock.now(), slot.addr, self.conn, &self.head);
        }
        self.head
    }
}

/// Sends the request; `last_event` is the event after which a stream goes on.
pub(super) async fn attempt(
    node: &Arc<Node>,
    job: &Job,
    slot: &Slot,
    last_event: Option<u64>,
) -> Result<Answering, Miss> {
    let conn = connect(node, job, slot).await?;
    job.sending(slot.endpoint());
    let answered = exchange(node, job, slot, conn, last_event).await;
    match answered {
        Ok(answering) => check(node, job, slot, answering).await,
        Err(cause) => {
            job.sent(Verdict::MayHaveRun, Some(cause));
            Err(Miss {
                verdict: Verdict::MayHaveRun,
                cause,
                ended: route::PlacementOutcome::Failed,
                sent: true,
            })
        }
    }
}

async fn connect(node: &Node, job: &Job, slot: &Slot) -> Result<Conn, Miss> {
    let opening = node.pool.take_or_connect(node.clock.now(), slot.addr);
    let cause = match within(&*node.clock, CONNECT_LIMIT, opening).await {
        Ok(Ok(lane)) => {
            let kind = if lane.reused { "reused" } else { "new" };
            metrics::counter!("celerystage_endpoint_connections_total", "kind" => kind)
                .increment(1);
            return Ok(lane.conn);
        }
        Ok(Err(_)) => "connection refused",
        Err(_) => "connection timed out",
    };
    job.unsent(slot.endpoint(), cause);
    node.pool.remove_addr(slot.addr);
    Err(Miss {
        verdict: Verdict::NotRun,
        cause,
        ended: route::PlacementOutcome::Unreachable,
        sent: false,
    })
}

async fn exchange(
    node: &Node,
    job: &Job,
    slot: &Slot,
    mut conn: Conn,
    last_event: Option<u64>,
) -> Result<Answering, &'static str> {
    let request = request_bytes(node, job, slot, last_event);
    let first = conn.exchange(&request, HEAD_LIMIT).await;
    let (mut head, whole) = first.map_err(|_| "connection lost before an answer")?;
    for _ in 0..MOST_STALE {
        let framing = response_framing(&head, &job.head.method).map_err(|_| "malformed answer")?;
        let says = node.dialect.answer(&head);
        let own = says.id.as_ref() == Some(&job.caller.id);
        if own || (says.id.is_none() && head.status >= 300) {
            return Ok(Answering {
                conn,
                head,
                reader: BodyReader::new(framing),
                whole,
                ends_conn: framing == Framing::Close,
            });
        }
        log::warn!(request:% = job.caller.id, endpoint:% = slot.endpoint(), status = head.status; "answer to another request skipped");
        let mut rest = BodyReader::new(framing);
        let skipped = rest.read_all(&mut conn, BODY_LIMIT).await;
        skipped.map_err(|_| "malformed answer")?;
        let next = conn.response_head(HEAD_LIMIT).await;
        head = next.map_err(|_| "connection lost before an answer")?;
    }
    Err("too many answers to other requests")
}

/// Turns an endpoint's statement that the request did not run into a miss.
async fn check(
    node: &Arc<Node>,
    job: &Job,
    slot: &Slot,
    answering: Answering,
) -> Result<Answering, Miss> {
    let says = node.dialect.answer(&answering.head);
    if !says.not_run && !says.misdirected {
        return Ok(answering);
    }
    let cause = if says.misdirected {
        "another endpoint has the address"
    } else {
        "endpoint refused"
    };
    job.sent(Verdict::NotRun, Some(cause));
    if says.misdirected {
        node.pool.remove_addr(slot.addr);
    } else if let Err(e) = answering.finish(node, slot).await {
        log::debug!(endpoint:% = slot.endpoint(), error:% = e; "refusal without its whole body");
    }
    let ended = if says.misdirected {
        route::PlacementOutcome::Unreachable
    } else {
        route::PlacementOutcome::Refused
    };
    Err(Miss {
        verdict: Verdict::NotRun,
        cause,
        ended,
        sent: true,
    })
}

fn request_bytes(node: &Node, job: &Job, slot: &Slot, last_event: Option<u64>) -> Vec<u8> {
    let mut head = job.head.clone();
    let hop = Hop {
        endpoint: slot.endpoint(),
        patience: Some(job.ends.since(node.clock.now())),
        org: job.org.as_ref().map(|o| &o.id),
        tier: job.caller.prompt.as_ref().map(|_| job.tier),
        last_event,
        fetch: slot.fetch,
    };
    node.dialect.forward(&mut head.headers, &hop);
    if !job.body.is_empty() || head.method != "GET" {
        head.headers
            .push("Content-Length", job.body.len().to_string());
    }
    let mut bytes = Vec::with_capacity(1024 + job.body.len());
    head.write(&mut bytes);
    bytes.extend_from_slice(&job.body);
    bytes
}
