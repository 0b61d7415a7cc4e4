//! One connection of the server: its requests, one after the other.

use {
    super::{Handler, ServerLimits, refusal_response},
    crate::conn::{Conn, Framing, Head, HeadError, HeadKind, Replay, StopSignal},
    async_h1::server::{Encoder, decode},
    clock::{SharedClock, within},
    futures_lite::{
        FutureExt,
        io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    },
    http_types::{Method, Request, Response, headers::CONNECTION},
    std::{io, sync::Arc},
    types::{Reason, Refusal},
};

const COPY_BYTES: usize = 16 * 1024;
/// Unread body bytes that are skipped to keep a connection; beyond it the connection is closed.
const MAX_SKIP_BYTES: usize = 64 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether the connection carries another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Request,
    Close,
}

pub(super) struct Session {
    pub(super) conn: Conn,
    pub(super) handler: Arc<dyn Handler>,
    pub(super) limits: ServerLimits,
    pub(super) clock: SharedClock,
    pub(super) stop: StopSignal,
    /// From when on answers ask the caller to close.
    pub(super) draining: StopSignal,
}

impl Session {
    /// Serves requests until the peer closes, an error occurs, or the process stops.
    pub(super) async fn run(mut self) {
        let mut spare = Vec::new();
        loop {
            let head = match self.head(&mut spare).await {
                Ok(Some(head)) => head,
                Ok(None) => return,
                Err(refusal) => return self.refuse(&refusal).await,
            };
            match self.serve(head, &mut spare).await {
                Next::Request => {}
                Next::Close => return,
            }
        }
    }

    async fn head(&mut self, spare: &mut Vec<u8>) -> Result<Option<Head>, Refusal> {
        if self.stop.is_set() {
            return Ok(None);
        }
        let waits_idle = spare.is_empty();
        let stop = self.stop.clone();
        let stopped = async {
            stop.wait().await;
            Ok(Err(HeadError::Closed))
        };
        let read = within(
            &*self.clock,
            self.limits.head_timeout,
            Head::read(&mut self.conn, spare, HeadKind::Request),
        );
        match read.or(stopped).await {
            Ok(Ok(head)) => Ok(Some(head)),
            Ok(Err(HeadError::Closed | HeadError::Cut(_))) => Ok(None),
            Ok(Err(e @ HeadError::TooLong)) => {
                Err(Refusal::not_run(Reason::TooLarge, e.to_string()))
            }
            Ok(Err(e)) => Err(Refusal::not_run(Reason::BadRequest, e.to_string())),
            Err(_) if waits_idle && spare.is_empty() => Ok(None),
            Err(_) => Err(Refusal::not_run(
                Reason::TooSlow,
                "request head sent too slowly",
            )),
        }
    }

    async fn serve(&mut self, head: Head, spare: &mut Vec<u8>) -> Next {
        if head.expects && self.conn.write_all(CONTINUE).await.is_err() {
            return Next::Close;
        }
        let chunked = head.framing == Framing::Chunked;
        let replay = Replay::new(self.conn.clone(), head, std::mem::take(spare));
        let (request, mut rest) = match decode(replay.clone()).await {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return Next::Close,
            Err(e) => {
                let refusal = Refusal::not_run(Reason::BadRequest, e.to_string());
                self.refuse(&refusal).await;
                return Next::Close;
            }
        };
        let method = request.method();
        let mut next = asked_next(&request);
        let Some(mut response) = self.answer(request).await else {
            return Next::Close;
        };
        let ending = self.stop.is_set() || self.draining.is_set();
        if ending || next == Next::Close {
            next = Next::Close;
            response.insert_header(CONNECTION, "close");
        }
        if self.write(response, method).await.is_err() {
            return Next::Close;
        }
        if next == Next::Close {
            return Next::Close;
        }
        let skipped = within(&*self.clock, self.limits.write_timeout, skip(&mut rest)).await;
        let whole = chunked || replay.body_done();
        if !matches!(skipped, Ok(Ok(()))) || !whole {
            return Next::Close;
        }
        *spare = replay.take_spare();
        Next::Request
    }

    /// The handler's answer; `None` when the caller hung up first.
    async fn answer(&self, request: Request) -> Option<Response> {
        let answer = async { Some(self.handler.call(request).await) };
        let hangup = async {
            self.conn.hangup(&*self.clock).await;
            metrics::counter!("celerystage_hangups_total").increment(1);
            None
        };
        answer.or(hangup).await
    }

    async fn write(&mut self, response: Response, method: Method) -> io::Result<()> {
        let mut encoder = Encoder::new(response, method);
        let mut buf = vec![0; COPY_BYTES];
        loop {
            let hangup = async {
                self.conn.hangup(&*self.clock).await;
                Err(io::ErrorKind::ConnectionReset.into())
            };
            let n = encoder.read(&mut buf).or(hangup).await?;
            if n == 0 {
                return Ok(());
            }
            let write = self.conn.write_all(&buf[..n]);
            within(&*self.clock, self.limits.write_timeout, write)
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        }
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        let mut response = refusal_response(refusal);
        response.insert_header(CONNECTION, "close");
        if self.write(response, Method::Get).await.is_ok() {
            let _ = self.conn.close().await;
        }
    }
}

fn asked_next(request: &Request) -> Next {
    let closes = request.header(CONNECTION).is_some_and(|v| {
        v.as_str()
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    });
    if closes { Next::Close } else { Next::Request }
}

async fn skip(rest: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
    let mut buf = [0; 4096];
    let mut skipped = 0;
    loop {
        let n = rest.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        skipped += n;
        if skipped > MAX_SKIP_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}
