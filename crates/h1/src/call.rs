//! Calls whose response is read into memory.

use {
    super::{
        BodyError, BodyReader, CallTimes, Pool, RequestHead, ResponseHead, response_framing,
        send_permission::SendPermission,
    },
    clock::{Clock, Instant, timeout},
    futures_lite::FutureExt,
    std::{error::Error, fmt, future::pending, io, net::SocketAddr, time::Duration},
    types::{Bytes, Verdict},
};

/// Interval between two looks whether a call with a permission has expired.
const EXPIRY_POLL: Duration = Duration::from_millis(100);
/// Largest accepted response head.
const MAX_HEAD_SIZE: Bytes = Bytes(16 * 1024);
/// `TCP_USER_TIMEOUT` of a call with `send_by`, as a multiple of its timeout. Above one, so that a running
/// process resets the connection first.
const DELIVERY_TIMEOUTS: u32 = 2;

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status and header fields.
    pub head: ResponseHead,
    /// Body.
    pub body: Vec<u8>,
    /// When the request was written, if the permission to send it is limited.
    pub times: CallTimes,
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
    /// What was done before the failure; whether the request was written is known only if the
    /// permission to send it is limited.
    pub times: CallTimes,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl Error for CallError {}

impl CallError {
    fn new(verdict: Verdict, cause: impl Into<BodyError>, times: CallTimes) -> Self {
        let cause = cause.into();
        Self {
            verdict,
            cause,
            times,
        }
    }

    fn timed_out(verdict: Verdict, times: CallTimes) -> Self {
        Self::new(verdict, io::Error::from(io::ErrorKind::TimedOut), times)
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
    let mut times = CallTimes::default();
    let mut pooled = opened
        .map_err(|_| CallError::timed_out(Verdict::NotRun, times))?
        .map_err(|e| CallError::new(Verdict::NotRun, e, times))?;
    times.opened = Some(clock.now());
    let mut permission = limits.send_by.map(|by| SendPermission::new(clock, by));
    if let Some(Err(e)) = permission.as_ref().map(SendPermission::check) {
        return Err(CallError::new(Verdict::NotRun, e, times));
    }
    let has_limit = limits.send_by.is_some();
    if has_limit {
        let limited = pooled
            .conn
            .limit_delivery(Some(limits.timeout * DELIVERY_TIMEOUTS));
        limited.map_err(|e| CallError::new(Verdict::NotRun, e, times))?;
    }
    let exchange = async {
        let conn = &mut pooled.conn;
        let exchange = conn.exchange_while(permission.as_mut(), &bytes, MAX_HEAD_SIZE);
        let (response, fully_sent) = exchange.await?;
        let framing =
            response_framing(&response, &head.method).map_err(|_| BodyError::Malformed)?;
        let body = BodyReader::new(framing)
            .read_all(conn, limits.max_body)
            .await?;
        Ok((response, body, fully_sent))
    };
    let expires = limits.send_by.map(|_| clock.now() + limits.timeout);
    let exchange = exchange.or(until_expired(clock, expires));
    let outcome = timeout(clock, limits.timeout, exchange).await;
    times.written = permission.and_then(|p| p.written);
    let (head, body, fully_sent) = outcome
        .map_err(|_| CallError::timed_out(Verdict::MayHaveRun, times))?
        .map_err(|cause: BodyError| CallError::new(Verdict::MayHaveRun, cause, times))?;
    // Other calls need the default, so a connection that keeps the limit isn't reused.
    let is_restored = !has_limit || pooled.conn.limit_delivery(None).is_ok();
    if fully_sent && is_restored {
        pool.put_back(clock.now(), addr, pooled, &head);
    }
    Ok(Response { head, body, times })
}

/// Fails once a call with a permission has expired. Timers don't count the time for which the machine is
/// suspended, and the kernel would keep transmitting the request afterwards.
async fn until_expired<T>(clock: &dyn Clock, expires: Option<Instant>) -> Result<T, BodyError> {
    let Some(expires) = expires else {
        return pending().await;
    };
    while clock.now() < expires {
        clock.sleep(EXPIRY_POLL).await;
    }
    Err(io::Error::from(io::ErrorKind::TimedOut).into())
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
