//! A shared TCP stream.

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

/// Interval between hang-up checks while unread bytes hide the end of the stream.
const HANGUP_RECHECK: Duration = Duration::from_millis(250);

/// What a look at the receive buffer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peek {
    Data,
    Quiet,
    Closed,
}

/// A TCP stream that the two halves of a conversation share.
#[derive(Debug, Clone)]
pub(crate) struct Conn(Arc<Async<TcpStream>>);

impl Conn {
    /// Wraps an accepted stream and turns off send coalescing, so that tokens leave one by one.
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
            Err(e) if e == rustix::io::Errno::AGAIN => Peek::Quiet,
            Err(_) => Peek::Closed,
        }
    }

    /// Whether an idle stream can carry another request.
    pub(crate) fn reusable(&self) -> bool {
        self.peek() == Peek::Quiet
    }

    /// Resolves when the peer has closed its side.
    pub(crate) async fn hangup(&self, clock: &dyn Clock) {
        loop {
            if self.0.readable().await.is_err() {
                return;
            }
            match self.peek() {
                Peek::Closed => return,
                Peek::Data => clock.sleep(HANGUP_RECHECK).await,
                Peek::Quiet => {}
            }
        }
    }
}

impl AsyncRead for Conn {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Conn {
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
