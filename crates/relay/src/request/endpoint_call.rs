//! A call of an endpoint over a connection of this VM: for its own callers, or for another VM.

use {
    super::{endpoint_target::EndpointTarget, start_proof::prove_start},
    crate::process::Node,
    clock::timeout,
    detour::{CarryRefusal, ConnectFailure},
    futures_lite::FutureExt,
    h1::{BodyReader, Framing, PooledConn, ResponseHead, response_framing},
    std::{io, time::Duration},
    types::{AttemptId, Bytes},
};

/// Timeout of connecting: enough for two round trips between zones and one lost packet.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest head of a response.
pub(super) const MAX_HEAD: Bytes = Bytes(32 * 1024);
/// Largest body of a buffered response.
pub(super) const MAX_BODY: Bytes = Bytes(4 * 1024 * 1024);
/// Largest number of late responses to earlier requests that are skipped on one connection.
const MAX_STALE_RESPONSES: usize = 3;

/// Cause of a failed attempt: the response may belong to an earlier request on the connection.
pub(super) const UNNAMED: &str = "answer names no request";

/// Why there is no connection to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenFailure {
    Refused,
    TimedOut,
    /// It hasn't said that it is the listed process.
    Unproven(&'static str),
    /// This VM lost its links to the endpoints meanwhile.
    Cut,
}

impl OpenFailure {
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Refused => "connection refused",
            Self::TimedOut => "connection timed out",
            Self::Unproven(cause) => cause,
            Self::Cut => "no endpoint accepts connections",
        }
    }
}

impl From<OpenFailure> for CarryRefusal {
    fn from(failure: OpenFailure) -> Self {
        match failure {
            OpenFailure::Refused => Self::Refused,
            OpenFailure::TimedOut | OpenFailure::Unproven(_) => Self::Unreachable,
            OpenFailure::Cut => Self::Cut,
        }
    }
}

/// A response whose head has arrived, and the connection with its body.
pub(super) struct EndpointResponse {
    pub(super) pooled: PooledConn,
    pub(super) head: ResponseHead,
    pub(super) framing: Framing,
    /// Whether the request was written completely; otherwise the connection cannot be reused.
    pub(super) request_written: bool,
}

/// A call of an endpoint.
#[derive(Clone, Copy)]
pub(super) struct EndpointCall<'a> {
    pub(super) node: &'a Node,
    pub(super) target: &'a EndpointTarget,
    /// The caller's attempt.
    pub(super) attempt: &'a AttemptId,
}

impl EndpointCall<'_> {
    /// Opens a connection, or takes an idle one; with `proven`, one on which the endpoint has said that it
    /// is the listed process.
    pub(super) async fn open(&self, proven: bool) -> Result<PooledConn, OpenFailure> {
        let (node, target) = (self.node, self.target);
        let began = node.clock.now();
        // Without a listed start time there is nothing to compare with.
        let proven = proven && target.born != 0;
        let opening = async {
            if proven {
                let pool = &node.pool;
                return pool
                    .take_proven_or_connect(began, target.addr, target.born)
                    .await;
            }
            node.pool.take_or_connect(began, target.addr).await
        };
        let opening = async { Some(timeout(&*node.clock, CONNECT_TIMEOUT, opening).await) };
        let cut = async {
            node.until_cut().await;
            None
        };
        let pooled = match opening.or(cut).await {
            None => return Err(OpenFailure::Cut),
            Some(Ok(Ok(pooled))) => pooled,
            Some(Ok(Err(e))) => {
                self.record_failure(began, Some(&e));
                return Err(OpenFailure::Refused);
            }
            Some(Err(_)) => {
                self.record_failure(began, None);
                return Err(OpenFailure::TimedOut);
            }
        };
        let kind = if pooled.reused { "reused" } else { "new" };
        metrics::counter!("celerystage_endpoint_connections_total", "kind" => kind).increment(1);
        if !pooled.reused {
            node.record_accepted();
        }
        if proven {
            return prove_start(self, pooled)
                .await
                .map_err(OpenFailure::Unproven);
        }
        Ok(pooled)
    }

    fn record_failure(&self, began: clock::Instant, error: Option<&io::Error>) {
        let failure = ConnectFailure {
            addr: self.target.addr,
            took: self.node.clock.now().since(began),
            limit: CONNECT_TIMEOUT,
        };
        self.node.record_connect_failure(failure, error);
    }

    /// Sends a request of `method` and reads the head of the response.
    pub(super) async fn exchange(
        &self,
        mut pooled: PooledConn,
        method: &str,
        request: &[u8],
    ) -> Result<EndpointResponse, &'static str> {
        let node = self.node;
        let kept = pooled.has_answered();
        node.record_send();
        let conn = &mut pooled.conn;
        let first = conn.exchange(request, MAX_HEAD).await;
        let (mut head, request_written) = first.map_err(|_| "connection lost before an answer")?;
        for _ in 0..MAX_STALE_RESPONSES {
            node.record_heard();
            let framing = response_framing(&head, method).map_err(|_| "malformed answer")?;
            let parsed = node.codec.parse_response(&head);
            node.note_response(self.target, self.attempt, (head.status, &parsed));
            let matches_request = parsed.id.as_ref() == Some(self.attempt);
            let unnamed = parsed.id.is_none() && head.status >= 300;
            if unnamed && kept {
                log::warn!(request:% = self.attempt, endpoint:% = self.target.id, status = head.status; "response names no request on a connection that had others");
                return Err(UNNAMED);
            }
            if matches_request || unnamed {
                return Ok(EndpointResponse {
                    pooled,
                    head,
                    framing,
                    request_written,
                });
            }
            log::warn!(request:% = self.attempt, endpoint:% = self.target.id, status = head.status; "skipped a late response to another request");
            let mut rest = BodyReader::new(framing);
            let held = node.response_bytes.lease();
            let has_room = |size| held.grow_to(size);
            let skipped = rest.read_within(conn, MAX_BODY, has_room).await;
            skipped.map_err(|_| "malformed answer")?;
            let next = conn.response_head(MAX_HEAD).await;
            head = next.map_err(|_| "connection lost before an answer")?;
        }
        Err("too many answers to other requests")
    }
}
