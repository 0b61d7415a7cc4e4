//! A TCP stream with several owners.

use {
    async_io::Async,
    clock::Clock,
    futures_lite::io::{AsyncRead, AsyncWrite},
    rustix::net::{RecvFlags, recv},
    std::{
        io,
        net::{SocketAddr, TcpStream},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Interval between checks for a disconnected peer while unread bytes keep the socket readable.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// State of the receive buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peek {
    Data,
    Empty,
    Closed,
}

/// A TCP stream whose clones share one socket.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream(Arc<Async<TcpStream>>);

impl SharedStream {
    /// Wraps a connected stream and disables Nagle's algorithm, so that each token is sent at once.
    pub(crate) fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        Ok(Self(Arc::new(stream)))
    }

    /// Connects to `addr`.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(addr).await?)
    }

    fn peek(&self) -> Peek {
        let mut byte = [0u8; 1];
        match recv(
            self.0.get_ref(),
            &mut byte,
            RecvFlags::PEEK | RecvFlags::DONTWAIT,
        ) {
            Ok((_, 0)) => Peek::Closed,
            Ok(_) => Peek::Data,
            Err(e) if e == rustix::io::Errno::AGAIN => Peek::Empty,
            Err(_) => Peek::Closed,
        }
    }

    /// Whether an idle stream can carry another request: still open, with nothing to read.
    pub(crate) fn is_reusable(&self) -> bool {
        self.peek() == Peek::Empty
    }

    /// Resolves when the peer has closed its side.
    pub(crate) async fn wait_closed(&self, clock: &dyn Clock) {
        loop {
            if self.0.readable().await.is_err() {
                return;
            }
            match self.peek() {
                Peek::Closed => return,
                Peek::Data => clock.sleep(CLOSE_POLL_INTERVAL).await,
                Peek::Empty => {}
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(cx)
    }
}
