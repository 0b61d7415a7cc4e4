//! Serves the requests of one connection, one after another.

use {
    super::{Handler, ServerLimits, refusal_response},
    crate::conn::{Framing, Head, HeadError, HeadKind, MessageStream, SharedStream, StopSignal},
    async_h1::server::{Encoder, decode},
    clock::{SharedClock, timeout},
    futures_lite::{
        FutureExt,
        io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    },
    http_types::{Method, Request, Response, headers::CONNECTION},
    std::{io, sync::Arc, time::Duration},
    types::{Reason, Refusal},
};

const WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// Most unread body bytes that are discarded to reuse a connection; if there are more, it is
/// closed.
const MAX_DISCARD_BYTES: usize = 64 * 1024;
/// Time after the stop signal in which a request head may still arrive. Callers may have sent one
/// before they could know of the stop.
const LAST_HEAD_TIME: Duration = Duration::from_millis(500);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What happens to the connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    KeepAlive,
    Close,
}

/// A connection of the server and what its requests need.
pub(super) struct Session {
    pub(super) conn: SharedStream,
    pub(super) handler: Arc<dyn Handler>,
    pub(super) limits: ServerLimits,
    pub(super) clock: SharedClock,
    pub(super) stop: StopSignal,
    /// Once set, responses ask the caller to close the connection.
    pub(super) draining: StopSignal,
}

impl Session {
    /// Serves requests until the peer closes the connection, an error occurs, or the server stops.
    pub(super) async fn run(mut self) {
        let mut leftover = Vec::new();
        loop {
            let head = match self.read_head(&mut leftover).await {
                Ok(Some(head)) => head,
                Ok(None) => return,
                Err(refusal) => return self.refuse(&refusal).await,
            };
            match self.serve(head, &mut leftover).await {
                AfterResponse::KeepAlive => {}
                AfterResponse::Close => return,
            }
        }
    }

    /// Reads the next request head; `None` if the connection ends without one.
    async fn read_head(&mut self, leftover: &mut Vec<u8>) -> Result<Option<Head>, Refusal> {
        let idle = leftover.is_empty();
        let (stop, clock) = (self.stop.clone(), self.clock.clone());
        let stopped = async {
            stop.wait().await;
            clock.sleep(LAST_HEAD_TIME).await;
            Ok(Err(HeadError::Closed))
        };
        let read = timeout(
            &*self.clock,
            self.limits.head_timeout,
            Head::read(&mut self.conn, leftover, HeadKind::Request),
        );
        match read.or(stopped).await {
            Ok(Ok(head)) => Ok(Some(head)),
            Ok(Err(HeadError::Closed | HeadError::Interrupted(_))) => Ok(None),
            Ok(Err(e @ HeadError::TooLong)) => {
                Err(Refusal::not_run(Reason::TooLarge, e.to_string()))
            }
            Ok(Err(e)) => Err(Refusal::not_run(Reason::BadRequest, e.to_string())),
            Err(_) if idle && leftover.is_empty() => Ok(None),
            Err(_) => Err(Refusal::not_run(
                Reason::TooSlow,
                "request head sent too slowly",
            )),
        }
    }

    async fn serve(&mut self, head: Head, leftover: &mut Vec<u8>) -> AfterResponse {
        if head.expects_continue && self.conn.write_all(CONTINUE).await.is_err() {
            return AfterResponse::Close;
        }
        let chunked = head.framing == Framing::Chunked;
        let stream = MessageStream::new(self.conn.clone(), head, std::mem::take(leftover));
        let (request, mut rest) = match decode(stream.clone()).await {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return AfterResponse::Close,
            Err(e) => {
                let refusal = Refusal::not_run(Reason::BadRequest, e.to_string());
                self.refuse(&refusal).await;
                return AfterResponse::Close;
            }
        };
        let method = request.method();
        let mut next = after_response(&request);
        let Some(mut response) = self.call_handler(request).await else {
            return AfterResponse::Close;
        };
        let closing = self.stop.is_set() || self.draining.is_set();
        if closing || next == AfterResponse::Close {
            next = AfterResponse::Close;
            response.insert_header(CONNECTION, "close");
        }
        if self.write(response, method).await.is_err() {
            return AfterResponse::Close;
        }
        if next == AfterResponse::Close {
            return AfterResponse::Close;
        }
        let discarded = timeout(&*self.clock, self.limits.write_timeout, discard(&mut rest)).await;
        let fully_read = chunked || stream.is_body_read();
        if !matches!(discarded, Ok(Ok(()))) || !fully_read {
            return AfterResponse::Close;
        }
        *leftover = stream.take_leftover();
        AfterResponse::KeepAlive
    }

    /// Runs the handler; `None` if the caller disconnects first.
    async fn call_handler(&self, request: Request) -> Option<Response> {
        let response = async { Some(self.handler.call(request).await) };
        let disconnect = async {
            self.conn.wait_closed(&*self.clock).await;
            metrics::counter!("celerystage_hangups_total").increment(1);
            None
        };
        response.or(disconnect).await
    }

    async fn write(&mut self, response: Response, method: Method) -> io::Result<()> {
        let mut encoder = Encoder::new(response, method);
        let mut buf = vec![0; WRITE_BUFFER_BYTES];
        loop {
            let disconnect = async {
                self.conn.wait_closed(&*self.clock).await;
                Err(io::ErrorKind::ConnectionReset.into())
            };
            let n = encoder.read(&mut buf).or(disconnect).await?;
            if n == 0 {
                return Ok(());
            }
            let write = self.conn.write_all(&buf[..n]);
            timeout(&*self.clock, self.limits.write_timeout, write)
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

/// What the request asks to happen to its connection.
fn after_response(request: &Request) -> AfterResponse {
    let closes = request.header(CONNECTION).is_some_and(|v| {
        v.as_str()
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        AfterResponse::Close
    } else {
        AfterResponse::KeepAlive
    }
}

/// Reads and drops the rest of a request body; fails if it is longer than [`MAX_DISCARD_BYTES`].
async fn discard(rest: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
    let mut buf = [0; 4096];
    let mut discarded = 0;
    loop {
        let n = rest.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        discarded += n;
        if discarded > MAX_DISCARD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}
