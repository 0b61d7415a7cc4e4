//! Sends a request and reads the head of its response.

use {
    super::{
        error::{SendError, SendErrorKind},
        pool::Pool,
        reply::Reply,
    },
    crate::conn::{Framing, Head, HeadError, HeadKind, MessageStream, SharedStream},
    async_h1::client::{Encoder, decode},
    clock::{Instant, SharedClock, timeout},
    futures_lite::io::{AsyncReadExt, AsyncWriteExt},
    http_types::{Method, Request, Response, Url, headers::CONNECTION},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    types::Verdict,
};

const WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// Most interim responses that are skipped before a final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Timeouts of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallTimeouts {
    /// For opening the connection.
    pub connect: Duration,
    /// For each write of the request, and for the response's head to arrive once it is written.
    pub head: Duration,
    /// Between two reads of the response's body.
    pub body_idle: Duration,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            head: Duration::from_secs(5),
            body_idle: Duration::from_secs(5),
        }
    }
}

/// A request to be sent to an address.
#[derive(Debug)]
pub struct Call {
    /// Address of the server.
    pub addr: SocketAddr,
    /// The request.
    pub request: Request,
    /// Timeouts.
    pub timeouts: CallTimeouts,
    /// Whether an idle connection may be used. Requests that must not be repeated use a new one,
    /// since the peer may be closing an idle one.
    pub reuse: bool,
    /// Time from the start of the call after which nothing of the request is written any more. It
    /// holds even if the process pauses while a connection or a write is awaited.
    pub send_within: Option<Duration>,
}

impl Call {
    /// Creates a call of `method` on `path`, with default timeouts and connection reuse.
    ///
    /// An invalid path is replaced by `/`.
    pub fn new(addr: SocketAddr, method: Method, path: &str) -> Self {
        let text = format!("http://{addr}{path}");
        let url = Url::parse(&text).or_else(|_| Url::parse(&format!("http://{addr}/")));
        let request = Request::new(method, url.unwrap_or_else(|_| fallback_url()));
        Self {
            addr,
            request,
            timeouts: CallTimeouts::default(),
            reuse: true,
            send_within: None,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, bytes: Vec<u8>) -> Self {
        self.request.set_body(bytes);
        self
    }

    /// Sets the time within which the request has to be written.
    #[must_use]
    pub fn send_within(mut self, limit: Duration) -> Self {
        self.send_within = Some(limit);
        self
    }

    /// Sets the timeouts.
    #[must_use]
    pub fn timeouts(mut self, timeouts: CallTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }
}

fn fallback_url() -> Url {
    Url::parse("http://127.0.0.1/").expect("constant URL is valid")
}

/// An HTTP client that keeps idle connections for reuse.
#[derive(Clone)]
pub struct Client {
    clock: SharedClock,
    pool: Arc<Pool>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(clock: SharedClock) -> Self {
        let pool = Arc::new(Pool::new(clock.clone()));
        Self { clock, pool }
    }

    /// Sends a call and waits for the response's head. The caller then reads the body from the
    /// reply.
    pub async fn send(&self, call: Call) -> Result<Reply, SendError> {
        let Call {
            addr,
            request,
            timeouts,
            reuse,
            send_within,
        } = call;
        let send_by = send_within.map(|limit| self.clock.now() + limit);
        let is_head = request.method() == Method::Head;
        let mut conn = self.connect(addr, timeouts, reuse).await?;
        self.write(&mut conn, request, (timeouts.head, send_by))
            .await?;
        let may_have_run = |kind| SendError {
            kind,
            verdict: Verdict::MayHaveRun,
        };
        let mut leftover = Vec::new();
        let read = read_final_head(&mut conn, &mut leftover);
        let head = timeout(&*self.clock, timeouts.head, read)
            .await
            .map_err(|_| may_have_run(SendErrorKind::HeadTimeout))?
            .map_err(|_| may_have_run(SendErrorKind::NoResponse))?;
        let framing = head.framing;
        let stream = MessageStream::new(conn.clone(), head, leftover);
        let response = decode(stream.clone())
            .await
            .map_err(|_| may_have_run(SendErrorKind::InvalidResponse))?;
        let bodiless = is_head || has_no_body(&response);
        if framing == Framing::Unspecified && !bodiless {
            return Err(may_have_run(SendErrorKind::InvalidResponse));
        }
        let keep_alive = !has_connection_close(&response);
        let mut reply = Reply::new(response, framing, timeouts.body_idle, self.clock.clone());
        if keep_alive {
            let pool = self.pool.clone();
            reply.on_complete(Box::new(move || {
                if stream.take_leftover().is_empty() {
                    pool.put_back(addr, conn);
                }
            }));
        }
        if bodiless {
            reply.mark_complete();
        }
        Ok(reply)
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        timeouts: CallTimeouts,
        reuse: bool,
    ) -> Result<SharedStream, SendError> {
        if reuse && let Some(conn) = self.pool.take_idle(addr) {
            return Ok(conn);
        }
        let failed = SendError {
            kind: SendErrorKind::Connect,
            verdict: Verdict::NotRun,
        };
        timeout(&*self.clock, timeouts.connect, SharedStream::connect(addr))
            .await
            .map_err(|_| failed)?
            .map_err(|_| failed)
    }

    async fn write(
        &self,
        conn: &mut SharedStream,
        request: Request,
        (limit, send_by): (Duration, Option<Instant>),
    ) -> Result<(), SendError> {
        let mut encoder = Encoder::new(request);
        let mut buf = vec![0; WRITE_BUFFER_BYTES];
        let mut verdict = Verdict::NotRun;
        loop {
            let read = encoder.read(&mut buf).await;
            let n = read.map_err(|_| SendError {
                kind: SendErrorKind::Write,
                verdict,
            })?;
            if n == 0 {
                return Ok(());
            }
            if send_by.is_some_and(|by| self.clock.now() >= by) {
                return Err(SendError {
                    kind: SendErrorKind::Write,
                    verdict,
                });
            }
            verdict = Verdict::MayHaveRun;
            let failed = SendError {
                kind: SendErrorKind::Write,
                verdict,
            };
            timeout(&*self.clock, limit, conn.write_all(&buf[..n]))
                .await
                .map_err(|_| failed)?
                .map_err(|_| failed)?;
        }
    }
}

/// Reads the head of the final response.
async fn read_final_head(
    conn: &mut SharedStream,
    leftover: &mut Vec<u8>,
) -> Result<Head, HeadError> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = Head::read(conn, leftover, HeadKind::Response).await?;
        if !head.is_interim() {
            return Ok(head);
        }
    }
    Err(HeadError::Malformed("too many interim responses"))
}

fn has_no_body(response: &Response) -> bool {
    matches!(u16::from(response.status()), 100..=199 | 204 | 304)
}

fn has_connection_close(response: &Response) -> bool {
    response.header(CONNECTION).is_some_and(|v| {
        v.as_str()
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    })
}
