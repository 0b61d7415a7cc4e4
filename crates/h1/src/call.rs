//! Whole calls with small answers.

use {
    super::{BodyError, BodyReader, Pool, RequestHead, ResponseHead, response_framing},
    clock::{Clock, timeout},
    std::{error::Error, fmt, net::SocketAddr, time::Duration},
    types::{Bytes, Verdict},
};

/// Largest head of an answer.
const HEAD_LIMIT: Bytes = Bytes(16 * 1024);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: Vec<u8>,
}

/// A call that brought no whole answer.
#[derive(Debug)]
pub struct CallError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// What failed.
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

/// Sends a request with a body. The limits are the time for connecting and again for the whole answer,
/// and the largest accepted body.
pub async fn call(
    clock: &dyn Clock,
    pool: &Pool,
    addr: SocketAddr,
    request: (RequestHead, &[u8]),
    limits: (Duration, Bytes),
) -> Result<Response, CallError> {
    let (mut head, body) = request;
    head.headers.push("Host", addr.to_string());
    head.headers.push("Content-Length", body.len().to_string());
    let mut bytes = Vec::with_capacity(256 + body.len());
    head.write(&mut bytes);
    bytes.extend_from_slice(body);
    let (time, most) = limits;
    let opened = timeout(clock, time, pool.take_or_connect(clock.now(), addr)).await;
    let pooled = opened
        .map_err(|_| CallError::timed_out(Verdict::NotRun))?
        .map_err(|e| CallError {
            verdict: Verdict::NotRun,
            cause: e.into(),
        })?;
    let mut conn = pooled.conn;
    let work = async {
        let (answer, whole) = conn.exchange(&bytes, HEAD_LIMIT).await?;
        let framing = response_framing(&answer, &head.method).map_err(|_| BodyError::Malformed)?;
        let body = BodyReader::new(framing).read_all(&mut conn, most).await?;
        Ok((Response { head: answer, body }, whole))
    };
    let done = timeout(clock, time, work).await;
    if done.is_err() {
        // A reset drops what is still under way, so that it does not arrive much later.
        conn.reset_on_drop();
    }
    let (answer, whole) = done
        .map_err(|_| CallError::timed_out(Verdict::MayHaveRun))?
        .map_err(|cause| CallError {
            verdict: Verdict::MayHaveRun,
            cause,
        })?;
    if whole {
        pool.put_back(clock.now(), addr, conn, &answer.head);
    }
    Ok(answer)
}

/// Sends a request without a body.
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
