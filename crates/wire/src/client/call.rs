//! Sends a request and reads the head of its response.

use {
    super::{
        error::{SendError, SendErrorKind},
        pool::Pool,
        reply::Reply,
    },
    crate::conn::{Conn, Framing, Head, HeadKind, Replay},
    async_h1::client::{Encoder, decode},
    clock::{SharedClock, within},
    futures_lite::io::{AsyncReadExt, AsyncWriteExt},
    http_types::{Method, Request, Response, Url, headers::CONNECTION},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    types::Verdict,
};

const COPY_BYTES: usize = 16 * 1024;

/// Time timeouts of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallTimeouts {
    /// For the connection to open.
    pub connect: Duration,
    /// For the response's head to arrive, from when the request was written.
    pub head: Duration,
    /// Between two pieces of the response's body.
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

/// A request on its way to an address.
#[derive(Debug)]
pub struct Call {
    /// Where the request goes.
    pub addr: SocketAddr,
    /// The request.
    pub request: Request,
    /// Time timeouts.
    pub timeouts: CallTimeouts,
    /// Whether an idle connection may be used. A request that may not be repeated takes a new one,
    /// since an idle one may be closing.
    pub reuse: bool,
}

impl Call {
    /// A call of `method` on `path`, with default timeouts and connection reuse.
    ///
    /// A path that is not valid is replaced by `/`.
    pub fn new(addr: SocketAddr, method: Method, path: &str) -> Self {
        let text = format!("http://{addr}{path}");
        let url = Url::parse(&text).or_else(|_| Url::parse(&format!("http://{addr}/")));
        let request = Request::new(method, url.unwrap_or_else(|_| unreachable_url()));
        Self {
            addr,
            request,
            timeouts: CallTimeouts::default(),
            reuse: true,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, bytes: Vec<u8>) -> Self {
        self.request.set_body(bytes);
        self
    }

    /// Sets the time timeouts.
    #[must_use]
    pub fn timeouts(mut self, timeouts: CallTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }
}

fn unreachable_url() -> Url {
    Url::parse("http://127.0.0.1/").expect("constant URL is valid")
}

/// Sends calls and keeps idle connections.
#[derive(Clone)]
pub struct Client {
    clock: SharedClock,
    pool: Arc<Pool>,
}

impl Client {
    /// A client without connections.
    pub fn new(clock: SharedClock) -> Self {
        let pool = Arc::new(Pool::new(clock.clone()));
        Self { clock, pool }
    }

    /// Sends a call. The reply's body is read by the caller.
    pub async fn send(&self, call: Call) -> Result<Reply, SendError> {
        let Call {
            addr,
            request,
            timeouts,
            reuse,
        } = call;
        let head_only = request.method() == Method::Head;
        let mut conn = self.connect(addr, timeouts, reuse).await?;
        self.write(&mut conn, request, timeouts).await?;
        let ran = |kind| SendError {
            kind,
            verdict: Verdict::MayHaveRun,
        };
        let mut spare = Vec::new();
        let read = Head::read(&mut conn, &mut spare, HeadKind::Response);
        let head = within(&*self.clock, timeouts.head, read)
            .await
            .map_err(|_| ran(SendErrorKind::HeadTimeout))?
            .map_err(|_| ran(SendErrorKind::NoResponse))?;
        let framing = head.framing;
        let replay = Replay::new(conn.clone(), head, spare);
        let response = decode(replay.clone())
            .await
            .map_err(|_| ran(SendErrorKind::InvalidResponse))?;
        let bodiless = head_only || has_no_body(&response);
        if framing == Framing::None && !bodiless {
            return Err(ran(SendErrorKind::InvalidResponse));
        }
        let keep = !closes(&response);
        let mut reply = Reply::new(response, framing, timeouts.body_idle, self.clock.clone());
        if keep {
            let pool = self.pool.clone();
            reply.on_whole(Box::new(move || {
                if replay.take_spare().is_empty() {
                    pool.keep(addr, conn);
                }
            }));
        }
        if bodiless {
            reply.mark_whole();
        }
        Ok(reply)
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        timeouts: CallTimeouts,
        reuse: bool,
    ) -> Result<Conn, SendError> {
        if reuse && let Some(conn) = self.pool.take(addr) {
            return Ok(conn);
        }
        let failed = SendError {
            kind: SendErrorKind::Connect,
            verdict: Verdict::NotRun,
        };
        within(&*self.clock, timeouts.connect, Conn::connect(addr))
            .await
            .map_err(|_| failed)?
            .map_err(|_| failed)
    }

    async fn write(
        &self,
        conn: &mut Conn,
        request: Request,
        timeouts: CallTimeouts,
    ) -> Result<(), SendError> {
        let mut encoder = Encoder::new(request);
        let mut buf = vec![0; COPY_BYTES];
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
            verdict = Verdict::MayHaveRun;
            let failed = SendError {
                kind: SendErrorKind::Write,
                verdict,
            };
            within(&*self.clock, timeouts.head, conn.write_all(&buf[..n]))
                .await
                .map_err(|_| failed)?
                .map_err(|_| failed)?;
        }
    }
}

fn has_no_body(response: &Response) -> bool {
    matches!(u16::from(response.status()), 100..=199 | 204 | 304)
}

fn closes(response: &Response) -> bool {
    response.header(CONNECTION).is_some_and(|v| {
        v.as_str()
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    })
}
