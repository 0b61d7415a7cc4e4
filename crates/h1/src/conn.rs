//! A TCP connection with a read buffer.

use {
    super::{HeadError, RequestHead, ResponseHead, send_permission::SendPermission},
    async_io::Async,
    futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt},
    rustix::net::sockopt,
    std::{
        future::poll_fn,
        io,
        net::{SocketAddr, TcpStream},
        pin::{Pin, pin},
        task::{Context, Poll},
        time::Duration,
    },
    types::Bytes,
};

/// Size of one read, in bytes.
const READ_SIZE: usize = 16 * 1024;
/// Most bytes that are buffered while watching for a disconnect: enough for a few pipelined heads.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Reads without waiting after which other tasks get their turn. A peer that sends faster than its
/// bytes are read would keep the executor, and timeouts would never fire.
const MAX_READS_IN_A_ROW: u32 = 32;
/// Most interim responses that are skipped before a final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the system gives up an accepted connection whose peer doesn't respond.
const ACCEPTED_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a connection that was opened for requests: longer than any of them waits. Once the
/// system has given up a connection, closing it no longer discards the request, and a peer behind a
/// partition may receive it later.
const OPENED_TIMEOUT: Duration = Duration::from_secs(120);

/// A connection and its read buffer.
pub struct Conn {
    io: Async<TcpStream>,
    buf: Vec<u8>,
    pos: usize,
    /// Whether a request was sent, at least partly, that has no response yet.
    unanswered: bool,
    /// Reads since the last one that had to wait.
    reads_in_a_row: u32,
    /// How the connection failed, if a write has met that. The system reports a failure once, and what
    /// is read after it ends like a connection that was closed.
    failure: Option<io::ErrorKind>,
}

/// Discards undelivered bytes of a request that was given up. Otherwise the system would go on
/// sending them, and after a network partition they would arrive seconds late.
impl Drop for Conn {
    fn drop(&mut self) {
        if self.unanswered {
            // If this fails, the connection closes normally; nothing better can be done.
            sockopt::set_socket_linger(self.io.get_ref(), Some(Duration::ZERO)).unwrap_or_default();
        }
    }
}

impl Conn {
    /// Wraps an accepted socket.
    pub fn new(io: Async<TcpStream>) -> io::Result<Self> {
        Self::with_timeout(io, ACCEPTED_TIMEOUT)
    }

    /// Wraps a socket which the system gives up if its peer doesn't respond for `timeout`.
    fn with_timeout(io: Async<TcpStream>, timeout: Duration) -> io::Result<Self> {
        let socket = io.get_ref();
        let probes = timeout.as_secs() / KEEPALIVE_INTERVAL.as_secs();
        socket.set_nodelay(true)?;
        sockopt::set_socket_keepalive(socket, true)?;
        sockopt::set_tcp_keepidle(socket, KEEPALIVE_INTERVAL)?;
        sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
        sockopt::set_tcp_keepcnt(socket, u32::try_from(probes).unwrap_or(u32::MAX))?;
        let conn = Self {
            io,
            buf: Vec::new(),
            pos: 0,
            unanswered: false,
            reads_in_a_row: 0,
            failure: None,
        };
        conn.set_user_timeout(timeout)?;
        Ok(conn)
    }

    fn set_user_timeout(&self, timeout: Duration) -> io::Result<()> {
        let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        Ok(sockopt::set_tcp_user_timeout(
            self.io.get_ref(),
            timeout_ms,
        )?)
    }

    /// Limits how long the kernel retransmits unacknowledged bytes, also while this process is frozen
    /// or after it was killed (`TCP_USER_TIMEOUT`); `None` restores the default of an opened connection.
    pub(crate) fn limit_delivery(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.set_user_timeout(timeout.unwrap_or(OPENED_TIMEOUT))
    }

    /// Connects to `addr`.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let io = Async::<TcpStream>::connect(addr).await?;
        Self::with_timeout(io, OPENED_TIMEOUT)
    }

    /// Bytes that were read and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buf[self.pos..]
    }

    /// Removes `size` bytes from the read buffer.
    pub fn consume(&mut self, size: usize) {
        self.pos = (self.pos + size).min(self.buf.len());
        if self.pos == self.buf.len() {
            self.buf.clear();
            self.pos = 0;
        }
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.reads_in_a_row >= MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.pos > 0 {
            self.buf.drain(..self.pos);
            self.pos = 0;
        }
        let old = self.buf.len();
        self.buf.resize(old + READ_SIZE, 0);
        let polled = Pin::new(&mut &self.io).poll_read(cx, &mut self.buf[old..]);
        let size = match &polled {
            Poll::Ready(Ok(size)) => *size,
            _ => 0,
        };
        self.buf.truncate(old + size);
        self.reads_in_a_row = match &polled {
            Poll::Ready(_) => self.reads_in_a_row + 1,
            Poll::Pending => 0,
        };
        match (polled, self.failure) {
            (Poll::Ready(Ok(0)), Some(failure)) => Poll::Ready(Err(failure.into())),
            (polled, _) => polled,
        }
    }

    /// Reads more bytes into the buffer and returns their number; zero at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Writes all of `bytes`.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        (&self.io).write_all(bytes).await
    }

    /// Whether the connection can carry another request: nothing to read, and not closed by the
    /// peer.
    pub fn is_reusable(&self) -> bool {
        if !self.buffered().is_empty() {
            return false;
        }
        let mut byte = [0u8; 1];
        let peeked = self.io.get_ref().peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Resolves when the peer closes or resets the connection. Bytes that arrive meanwhile are
    /// buffered; once the buffer is full, this never resolves.
    pub async fn wait_closed(&mut self) {
        while self.buffered().len() < MAX_PIPELINED_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads a request head; `None` if the peer closes before the first byte.
    pub async fn request_head(
        &mut self,
        limit: Bytes,
    ) -> io::Result<Result<Option<RequestHead>, HeadError>> {
        loop {
            match RequestHead::parse(self.buffered()) {
                Ok(Some((_, size))) if size as u64 > limit.0 => {
                    return Ok(Err(HeadError::TooLarge));
                }
                Ok(Some((head, size))) => {
                    self.consume(size);
                    return Ok(Ok(Some(head)));
                }
                Ok(None) if self.buffered().len() as u64 > limit.0 => {
                    return Ok(Err(HeadError::TooLarge));
                }
                Ok(None) => {}
                Err(e) => return Ok(Err(e)),
            }
            if self.fill().await? == 0 {
                if self.buffered().is_empty() {
                    return Ok(Ok(None));
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a response head, skipping a few interim responses.
    pub async fn response_head(&mut self, limit: Bytes) -> io::Result<ResponseHead> {
        let mut interim = 0;
        loop {
            match ResponseHead::parse(self.buffered()) {
                Ok(Some((head, size))) => {
                    self.consume(size);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    interim += 1;
                    if interim > MAX_INTERIM_RESPONSES {
                        return Err(invalid(HeadError::TooLarge));
                    }
                    continue;
                }
                Ok(None) => self.check_head_size(limit)?,
                Err(e) => return Err(invalid(e)),
            }
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Checks the size of a head that is not complete.
    fn check_head_size(&self, limit: Bytes) -> io::Result<()> {
        if self.buffered().len() as u64 > limit.0 {
            return Err(invalid(HeadError::TooLarge));
        }
        Ok(())
    }

    /// Writes a request and reads the head of its response, which may arrive before the request is
    /// fully written. The flag tells whether it was; only then can the connection carry another
    /// request.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        limit: Bytes,
    ) -> io::Result<(ResponseHead, bool)> {
        self.exchange_while(None, request, limit).await
    }

    /// The same for a request of which nothing is written once its permission has run out, and which
    /// doesn't outlive this process.
    pub(crate) async fn exchange_while(
        &mut self,
        permission: Option<&mut SendPermission<'_>>,
        request: &[u8],
        limit: Bytes,
    ) -> io::Result<(ResponseHead, bool)> {
        let is_limited = permission.is_some();
        if is_limited {
            // `Drop` doesn't run in a process that is killed.
            sockopt::set_socket_linger(self.io.get_ref(), Some(Duration::ZERO))?;
        }
        self.unanswered = true;
        let answer = self.send_and_read_head(permission, request, limit).await?;
        self.unanswered = !answer.1;
        if is_limited && !self.unanswered {
            sockopt::set_socket_linger(self.io.get_ref(), None)?;
        }
        Ok(answer)
    }

    async fn send_and_read_head(
        &mut self,
        mut permission: Option<&mut SendPermission<'_>>,
        request: &[u8],
        limit: Bytes,
    ) -> io::Result<(ResponseHead, bool)> {
        let mut sent = 0;
        let mut write_failed = false;
        loop {
            let fully_sent = sent == request.len();
            if fully_sent && let Some(permission) = &mut permission {
                permission.finish();
            }
            let parsed = ResponseHead::parse(self.buffered()).map_err(invalid)?;
            if let Some((head, size)) = parsed.filter(|(head, _)| head.status >= 200) {
                self.consume(size);
                return Ok((head, fully_sent && !write_failed));
            }
            self.check_head_size(limit)?;
            if fully_sent || write_failed {
                let head = self.response_head(limit).await?;
                return Ok((head, fully_sent && !write_failed));
            }
            let rest = &request[sent..];
            let step = poll_fn(|cx| {
                if let Some(Err(e)) = permission.as_ref().map(|p| p.check()) {
                    return Poll::Ready(Err(Err(e)));
                }
                if let Poll::Ready(done) = Pin::new(&mut &self.io).poll_write(cx, rest) {
                    return Poll::Ready(Ok(done));
                }
                self.poll_fill(cx).map(Err)
            });
            match pin!(step).await {
                Ok(Ok(size)) => {
                    sent += size;
                    // The process may have paused before the write; the reset discards unsent bytes.
                    permission.as_ref().map_or(Ok(()), |p| p.check())?;
                }
                // A peer that no longer accepts bytes may still have sent a response.
                Ok(Err(e)) => {
                    write_failed = true;
                    // A broken pipe means that the peer closed first: all that it sent has arrived.
                    let was_closed = e.kind() == io::ErrorKind::BrokenPipe;
                    self.failure = (!was_closed).then_some(e.kind());
                }
                Err(Ok(0)) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(Ok(_)) => {}
                Err(Err(e)) => return Err(e),
            }
        }
    }
}

fn invalid(error: HeadError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
