//! A body that is written through a channel. Dropping the sender without [`BodySender::finish`]
//! truncates the response.

use {
    async_channel::{Receiver, Sender, bounded},
    futures_lite::{
        io::{AsyncRead, BufReader},
        stream::Stream,
    },
    http_types::Body,
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Chunks that a body's channel holds before its sender has to wait.
const CHANNEL_CAPACITY: usize = 16;

enum Frame {
    Data(Vec<u8>),
    End,
}

/// Writes a body through its channel.
#[derive(Debug, Clone)]
pub struct BodySender(Sender<Frame>);

impl std::fmt::Debug for Frame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Data(bytes) => write!(f, "Data({} bytes)", bytes.len()),
            Self::End => write!(f, "End"),
        }
    }
}

impl BodySender {
    /// Sends one chunk; `false` if the reader was dropped.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return !self.0.is_closed();
        }
        self.0.send(Frame::Data(bytes)).await.is_ok()
    }

    /// Marks the body as complete; `false` if the reader was dropped.
    pub async fn finish(self) -> bool {
        self.0.send(Frame::End).await.is_ok()
    }

    /// Whether the reader was dropped.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

struct ChannelReader {
    frames: Pin<Box<Receiver<Frame>>>,
    chunk: Vec<u8>,
    /// Bytes of the chunk that were read.
    consumed: usize,
    ended: bool,
}

/// Creates a body and the sender that writes it.
pub fn body_channel() -> (BodySender, Body) {
    let (sender, receiver) = bounded(CHANNEL_CAPACITY);
    let reader = ChannelReader {
        frames: Box::pin(receiver),
        chunk: Vec::new(),
        consumed: 0,
        ended: false,
    };
    (
        BodySender(sender),
        Body::from_reader(BufReader::new(reader), None),
    )
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        while this.consumed == this.chunk.len() {
            if this.ended {
                return Poll::Ready(Ok(0));
            }
            match ready!(this.frames.as_mut().poll_next(cx)) {
                Some(Frame::Data(bytes)) => {
                    this.chunk = bytes;
                    this.consumed = 0;
                }
                Some(Frame::End) => this.ended = true,
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        let n = buf.len().min(this.chunk.len() - this.consumed);
        buf[..n].copy_from_slice(&this.chunk[this.consumed..this.consumed + n]);
        this.consumed += n;
        Poll::Ready(Ok(n))
    }
}
