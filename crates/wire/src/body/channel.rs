//! A body fed through a channel. Dropping the sender without [`BodySender::finish`] cuts the answer.

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

/// Pieces that may wait in a body's channel before its sender has to wait.
const CHANNEL_PIECES: usize = 16;

enum Piece {
    Data(Vec<u8>),
    End,
}

/// Feeds a body.
#[derive(Debug, Clone)]
pub struct BodySender(Sender<Piece>);

impl std::fmt::Debug for Piece {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Data(bytes) => write!(f, "Data({} bytes)", bytes.len()),
            Self::End => write!(f, "End"),
        }
    }
}

impl BodySender {
    /// Sends one piece; `false` when the reader is gone.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return !self.0.is_closed();
        }
        self.0.send(Piece::Data(bytes)).await.is_ok()
    }

    /// Marks the body as whole.
    pub async fn finish(self) -> bool {
        self.0.send(Piece::End).await.is_ok()
    }

    /// Whether the reader is gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

struct ChannelReader {
    pieces: Pin<Box<Receiver<Piece>>>,
    piece: Vec<u8>,
    taken: usize,
    ended: bool,
}

/// A body and the sender that feeds it.
pub fn body_channel() -> (BodySender, Body) {
    let (sender, receiver) = bounded(CHANNEL_PIECES);
    let reader = ChannelReader {
        pieces: Box::pin(receiver),
        piece: Vec::new(),
        taken: 0,
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
        while this.taken == this.piece.len() {
            if this.ended {
                return Poll::Ready(Ok(0));
            }
            match ready!(this.pieces.as_mut().poll_next(cx)) {
                Some(Piece::Data(bytes)) => {
                    this.piece = bytes;
                    this.taken = 0;
                }
                Some(Piece::End) => this.ended = true,
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        let n = buf.len().min(this.piece.len() - this.taken);
        buf[..n].copy_from_slice(&this.piece[this.taken..this.taken + n]);
        this.taken += n;
        Poll::Ready(Ok(n))
    }
}
