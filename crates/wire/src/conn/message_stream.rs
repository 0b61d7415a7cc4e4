//! A stream that limits a codec to one message: its checked head, then its body.

use {
    super::{Framing, Head, SharedStream},
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
    /// Bytes of the head that the codec has read.
    head_read: usize,
    /// Bytes read from the connection that the codec has not read.
    leftover: Vec<u8>,
    /// Body bytes that may still be read; `None` for a chunked body.
    remaining: Option<u64>,
}

/// The stream of one message. Reads end after the body; writes go to the connection.
#[derive(Debug, Clone)]
pub(crate) struct MessageStream {
    conn: SharedStream,
    inner: Arc<Mutex<Inner>>,
}

impl MessageStream {
    /// Creates a stream of `head`, followed by body bytes from `leftover` and then from the
    /// connection.
    pub(crate) fn new(conn: SharedStream, head: Head, leftover: Vec<u8>) -> Self {
        let remaining = match head.framing {
            Framing::Unspecified => Some(0),
            Framing::Length(n) => Some(n),
            Framing::Chunked => None,
        };
        let inner = Inner {
            head: head.bytes,
            head_read: 0,
            leftover,
            remaining,
        };
        Self {
            conn,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Takes the bytes that were read from the connection past this message.
    pub(crate) fn take_leftover(&self) -> Vec<u8> {
        std::mem::take(&mut self.inner.lock().leftover)
    }

    /// Whether a body of known length was read to its end.
    pub(crate) fn is_body_read(&self) -> bool {
        self.inner.lock().remaining == Some(0)
    }
}

impl Inner {
    /// Copies bytes that are already in memory; `None` if the connection must be read.
    fn fill(&mut self, buf: &mut [u8]) -> Option<usize> {
        if self.head_read < self.head.len() {
            let n = buf.len().min(self.head.len() - self.head_read);
            buf[..n].copy_from_slice(&self.head[self.head_read..self.head_read + n]);
            self.head_read += n;
            return Some(n);
        }
        let allowed = self.allowed(buf.len());
        if allowed == 0 {
            return Some(0);
        }
        if self.leftover.is_empty() {
            return None;
        }
        let n = allowed.min(self.leftover.len());
        buf[..n].copy_from_slice(&self.leftover[..n]);
        self.leftover.drain(..n);
        self.consume(n);
        Some(n)
    }

    /// Number of body bytes, at most `wanted`, that may be read.
    fn allowed(&self, wanted: usize) -> usize {
        match self.remaining {
            Some(remaining) => wanted.min(usize::try_from(remaining).unwrap_or(usize::MAX)),
            None => wanted,
        }
    }

    fn consume(&mut self, n: usize) {
        if let Some(remaining) = &mut self.remaining {
            *remaining -= n as u64;
        }
    }
}

impl AsyncRead for MessageStream {
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
        let allowed = inner.allowed(buf.len());
        let read = Pin::new(&mut this.conn).poll_read(cx, &mut buf[..allowed]);
        if let Poll::Ready(Ok(n)) = read {
            inner.consume(n);
        }
        read
    }
}

impl AsyncWrite for MessageStream {
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
