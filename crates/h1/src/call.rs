//! Calls whose response is read into memory.

use {
    super::{BodyError, BodyReader, Pool, RequestHead, ResponseHead, response_framing},
    clock::{Clock, Instant, timeout},
    std::{error::Error, fmt, net::SocketAddr, time::Duration},
    types::{Bytes, Verdict},
};

/// Largest accepted response head.
const MAX_HEAD_SIZE: Bytes = Bytes(16 * 1024);
/// Time for which the system goes on sending a call with `send_by`, in timeouts. At more than one, the
/// process that times out can still reset the connection.
const DELIVERY_TIMEOUTS: u32 = 2;

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status and header fields.
    pub head: ResponseHead,
    /// Body.
    pub body: Vec<u8>,
}

/// Limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Timeout, which applies to connecting and again to the rest of the call.
    pub timeout: Duration,
    /// Largest accepted response body.
    pub max_body: Bytes,
    /// When the permission to send the request runs out; nothing of it is written later.
    pub send_by: Option<Instant>,
}

impl From<(Duration, Bytes)> for CallLimits {
    fn from((timeout, max_body): (Duration, Bytes)) -> Self {
        Self {
            timeout,
            max_body,
            send_by: None,
        }
    }
}

/// A call that did not return a complete response.
#[derive(Debug)]
pub struct CallError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// The failure.
    pub cause: BodyError,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl Error for CallError {}

impl CallError {
    fn timed_out(verdict: Verdict) -> Self {
        let cause = std::io::Error::from(std::io::ErrorKind::TimedOut).into();
        Self { verdict, cause }
    }
}

/// Sends a request with a body and reads the response.
pub async fn call(
    clock: &dyn Clock,
    pool: &Pool,
    addr: SocketAddr,
    request: (RequestHead, &[u8]),
    limits: impl Into<CallLimits>,
) -> Result<Response, CallError> {
    let limits = limits.into();
    let (mut head, body) = request;
    head.headers.push("Host", addr.to_string());
    head.headers.push("Content-Length", body.len().to_string());
    let mut bytes = Vec::with_capacity(256 + body.len());
    head.write(&mut bytes);
    bytes.extend_from_slice(body);
    let opened = timeout(
        clock,
        limits.timeout,
        pool.take_or_connect(clock.now(), addr),
    )
    .await;
    let mut pooled = opened
        .map_err(|_| CallError::timed_out(Verdict::NotRun))?
        .map_err(|e| CallError {
            verdict: Verdict::NotRun,
            cause: e.into(),
        })?;
    let may_send = || limits.send_by.is_none_or(|by| clock.now() < by);
    if !may_send() {
        return Err(CallError::timed_out(Verdict::NotRun));
    }
    let has_limit = limits.send_by.is_some();
    if has_limit {
        let limited = pooled
            .conn
            .limit_delivery(Some(limits.timeout * DELIVERY_TIMEOUTS));
        limited.map_err(|e| CallError {
            verdict: Verdict::NotRun,
            cause: e.into(),
        })?;
    }
    let exchange = async {
        let conn = &mut pooled.conn;
        let sent = conn.exchange_while(&bytes, MAX_HEAD_SIZE, may_send);
        let (response, fully_sent) = sent.await?;
        let framing =
            response_framing(&response, &head.method).map_err(|_| BodyError::Malformed)?;
        let body = BodyReader::new(framing)
            .read_all(conn, limits.max_body)
            .await?;
        Ok((
            Response {
                head: response,
                body,
            },
            fully_sent,
        ))
    };
    let outcome = timeout(clock, limits.timeout, exchange).await;
    let (response, fully_sent) = outcome
        .map_err(|_| CallError::timed_out(Verdict::MayHaveRun))?
        .map_err(|cause| CallError {
            verdict: Verdict::MayHaveRun,
            cause,
        })?;
    // Other calls need the default, so a connection that keeps the limit isn't reused.
    let is_restored = !has_limit || pooled.conn.limit_delivery(None).is_ok();
    if fully_sent && is_restored {
        pool.put_back(clock.now(), addr, pooled, &response.head);
    }
    Ok(response)
}

/// Sends a `GET` request; the limits are those of [`call`].
pub async fn get(
    clock: &dyn Clock,
    pool: &Pool,
    addr: SocketAddr,
    target: &str,
    limits: (Duration, Bytes),
) -> Result<Response, CallError> {
    let head = RequestHead {
        method: "GET".into(),
        target: target.into(),
        minor_version: 1,
        headers: super::Headers::default(),
    };
    call(clock, pool, addr, (head, &[]), limits).await
}
