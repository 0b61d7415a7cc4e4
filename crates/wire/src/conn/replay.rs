//! A stream that gives a codec one message: its checked head, then its body, and nothing beyond.

use {
    super::{Conn, Framing, Head},
    futures_lite::io::{AsyncRead, AsyncWrite},
    parking_lot::Mutex,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

#[derive(Debug)]
struct Inner {
    head: Vec<u8>,
    sent: usize,
    spare: Vec<u8>,
    /// Body bytes that may still be read; `None` for a chunked body.
    left: Option<u64>,
}

/// One message of a connection, replayed to the codec.
#[derive(Debug, Clone)]
pub(crate) struct Replay {
    conn: Conn,
    inner: Arc<Mutex<Inner>>,
}

impl Replay {
    /// Replays `head`, then body bytes from `spare` and the connection.
    pub(crate) fn new(conn: Conn, head: Head, spare: Vec<u8>) -> Self {
        let left = match head.framing {
            Framing::None => Some(0),
            Framing::Length(n) => Some(n),
            Framing::Chunked => None,
        };
        let inner = Inner {
            head: head.bytes,
            sent: 0,
            spare,
            left,
        };
        Self {
            conn,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Takes the bytes that were read from the connection but belong to the next message.
    pub(crate) fn take_spare(&self) -> Vec<u8> {
        std::mem::take(&mut self.inner.lock().spare)
    }

    /// Whether a body of known length was read to its end.
    pub(crate) fn body_done(&self) -> bool {
        self.inner.lock().left == Some(0)
    }
}

impl Inner {
    /// Copies what is at hand; `None` when the connection must be read.
    fn fill(&mut self, buf: &mut [u8]) -> Option<usize> {
        if self.sent < self.head.len() {
            let n = buf.len().min(self.head.len() - self.sent);
            buf[..n].copy_from_slice(&self.head[self.sent..self.sent + n]);
            self.sent += n;
            return Some(n);
        }
        let room = self.room(buf.len());
        if room == 0 {
            return Some(0);
        }
        if self.spare.is_empty() {
            return None;
        }
        let n = room.min(self.spare.len());
        buf[..n].copy_from_slice(&self.spare[..n]);
        self.spare.drain(..n);
        self.count(n);
        Some(n)
    }

    fn room(&self, wanted: usize) -> usize {
        match self.left {
            Some(left) => wanted.min(usize::try_from(left).unwrap_or(usize::MAX)),
            None => wanted,
        }
    }

    fn count(&mut self, n: usize) {
        if let Some(left) = &mut self.left {
            *left -= n as u64;
        }
    }
}

impl AsyncRead for Replay {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut inner = this.inner.lock();
        if let Some(n) = inner.fill(buf) {
            return Poll::Ready(Ok(n));
        }
        let room = inner.room(buf.len());
        let read = Pin::new(&mut this.conn).poll_read(cx, &mut buf[..room]);
        if let Poll::Ready(Ok(n)) = read {
            inner.count(n);
        }
        read
    }
}

impl AsyncWrite for Replay {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}
