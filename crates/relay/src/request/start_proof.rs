//! Proof that an endpoint is still the process that is listed: it may have restarted under its id
//! and address. A restart breaks its connections, so that what it says on one holds for all of that
//! connection.

use {
    super::endpoint_call::EndpointCall,
    crate::adapter::ResponseHeaders,
    clock::timeout,
    h1::{BodyReader, Framing, PooledConn, response_framing},
    std::time::Duration,
    types::Bytes,
};

/// Time for the answer of an endpoint: as long as for connecting.
const ANSWER_TIMEOUT: Duration = super::endpoint_call::CONNECT_TIMEOUT;
/// Largest head of an answer.
const MAX_HEAD: Bytes = Bytes(16 * 1024);
/// Largest body of an answer.
const MAX_BODY: Bytes = Bytes(256 * 1024);
/// Largest number of late responses to earlier requests that are skipped before the answer.
const MAX_STALE_RESPONSES: usize = 3;
/// Largest number of connections that are tried: a reused one may be at its end, and endpoints close
/// some after a response.
const MAX_CONNECTIONS: usize = 2;

/// Cause of a failed attempt: the endpoint runs another process than the list says.
pub(super) const RESTARTED: &str = "endpoint has another start time than listed";

/// What an endpoint answered.
struct Answer {
    started: u64,
    status: u16,
    headers: ResponseHeaders,
    /// Whether the connection can carry a request.
    keeps_alive: bool,
}

/// Returns a connection on which the endpoint of a call has said that it started when it is listed
/// to have: `pooled`, or a new one. The error is why there is none.
pub(super) async fn prove_start(
    call: &EndpointCall<'_>,
    pooled: PooledConn,
) -> Result<PooledConn, &'static str> {
    let target = call.target;
    let proving = try_connections(call, pooled);
    let proven = timeout(&*call.node.clock, ANSWER_TIMEOUT, proving).await;
    let proven = proven.unwrap_or(Err("endpoint doesn't say in time when it started"));
    if let Err(cause) = proven {
        log::warn!(request:% = call.attempt, endpoint:% = target.id, addr:% = target.addr, listed = target.born, cause = cause; "endpoint is not proven to be the listed one");
    }
    proven
}

async fn try_connections(
    call: &EndpointCall<'_>,
    mut pooled: PooledConn,
) -> Result<PooledConn, &'static str> {
    let target = call.target;
    let mut cause = RESTARTED;
    for tried in 1..=MAX_CONNECTIONS {
        if pooled.proof == Some(target.born) {
            return Ok(pooled);
        }
        if pooled.proof.is_none() {
            match ask(call, &mut pooled).await {
                Ok(answer) if answer.started != target.born => {
                    log::warn!(endpoint:% = target.id, addr:% = target.addr, listed = target.born, started = answer.started; "endpoint has restarted");
                    return Err(RESTARTED);
                }
                Ok(answer) => {
                    call.node
                        .note_response(target, call.attempt, (answer.status, &answer.headers));
                    if answer.keeps_alive {
                        pooled.proof = Some(answer.started);
                        return Ok(pooled);
                    }
                    cause = "endpoint closes its connections";
                }
                Err(failure) => {
                    log::debug!(endpoint:% = target.id, addr:% = target.addr, reused = pooled.reused, cause = failure; "no start time on a connection");
                    cause = failure;
                }
            }
        }
        if tried < MAX_CONNECTIONS {
            let opened = PooledConn::connect(target.addr).await;
            pooled = opened.map_err(|_| "connection refused")?;
        }
    }
    Err(cause)
}

/// Asks the endpoint for its start time.
async fn ask(call: &EndpointCall<'_>, pooled: &mut PooledConn) -> Result<Answer, &'static str> {
    const LOST: &str = "connection lost before the start time";
    const MALFORMED: &str = "malformed answer";
    let (node, target) = (call.node, call.target);
    let query = node.codec.start_query(target.addr);
    let mut bytes = Vec::new();
    query.write(&mut bytes);
    let conn = &mut pooled.conn;
    let (mut head, written) = conn.exchange(&bytes, MAX_HEAD).await.map_err(|_| LOST)?;
    for _ in 0..=MAX_STALE_RESPONSES {
        let framing = response_framing(&head, &query.method).map_err(|_| MALFORMED)?;
        let mut reader = BodyReader::new(framing);
        let body = reader.read_all(conn, MAX_BODY).await;
        let body = body.map_err(|_| MALFORMED)?;
        let headers = node.codec.parse_response(&head);
        if headers.id.is_none() {
            return Ok(Answer {
                started: node.codec.parse_start(&body).ok_or(MALFORMED)?,
                status: head.status,
                headers,
                keeps_alive: written && framing != Framing::Close && head.keeps_alive(),
            });
        }
        log::warn!(endpoint:% = target.id, status = head.status; "skipped a late response to another request");
        head = conn.response_head(MAX_HEAD).await.map_err(|_| LOST)?;
    }
    Err("too many answers to other requests")
}
