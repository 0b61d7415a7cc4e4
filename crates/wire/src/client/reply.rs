//! A response whose body is read chunk by chunk.

use {
    super::error::{SendError, SendErrorKind},
    crate::{conn::Framing, msgpack::from_msgpack},
    clock::{SharedClock, timeout},
    futures_lite::io::AsyncReadExt,
    http_types::{Body, Response},
    serde::de::DeserializeOwned,
    std::time::Duration,
    types::{Bytes, Verdict},
};

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Runs once the body is read to its end.
type CompletionHook = Box<dyn FnOnce() + Send + Sync>;

/// A response whose head has arrived and whose body is still to be read.
pub struct Reply {
    head: Response,
    body: Body,
    remaining: Option<u64>,
    complete: bool,
    body_idle: Duration,
    clock: SharedClock,
    hook: Option<CompletionHook>,
}

impl Reply {
    pub(super) fn new(
        mut head: Response,
        framing: Framing,
        body_idle: Duration,
        clock: SharedClock,
    ) -> Self {
        let remaining = match framing {
            Framing::Unspecified => Some(0),
            Framing::Length(n) => Some(n),
            Framing::Chunked => None,
        };
        let body = head.take_body();
        Self {
            head,
            body,
            remaining,
            complete: false,
            body_idle,
            clock,
            hook: None,
        }
    }

    pub(super) fn on_complete(&mut self, hook: CompletionHook) {
        self.hook = Some(hook);
    }

    pub(super) fn mark_complete(&mut self) {
        self.complete = true;
        if let Some(hook) = self.hook.take() {
            hook();
        }
    }

    /// HTTP status.
    pub fn status(&self) -> u16 {
        u16::from(self.head.status())
    }

    /// The response's head.
    pub fn head(&self) -> &Response {
        &self.head
    }

    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|v| v.as_str())
    }

    /// Body bytes still to be read; `None` for a chunked body.
    pub fn remaining(&self) -> Option<u64> {
        self.remaining
    }

    /// Sets the longest accepted time between two reads of the body.
    pub fn set_body_idle(&mut self, body_idle: Duration) {
        self.body_idle = body_idle;
    }

    /// Reads the next chunk of the body; `None` at its announced end.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, SendError> {
        if self.complete {
            return Ok(None);
        }
        let failed = |kind| SendError {
            kind,
            verdict: Verdict::MayHaveRun,
        };
        let mut buf = vec![0; READ_BUFFER_BYTES];
        let n = timeout(&*self.clock, self.body_idle, self.body.read(&mut buf))
            .await
            .map_err(|_| failed(SendErrorKind::BodyTimeout))?
            .map_err(|_| failed(SendErrorKind::BodyTruncated))?;
        if n > 0 {
            if let Some(remaining) = &mut self.remaining {
                *remaining = remaining.saturating_sub(n as u64);
            }
            buf.truncate(n);
            return Ok(Some(buf));
        }
        if self.remaining.is_some_and(|remaining| remaining > 0) {
            return Err(failed(SendErrorKind::BodyTruncated));
        }
        self.mark_complete();
        Ok(None)
    }

    /// Reads the rest of the body, which must be at most `limit` bytes.
    pub async fn bytes(&mut self, limit: Bytes) -> Result<Vec<u8>, SendError> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() as u64 > limit.0 {
                return Err(SendError {
                    kind: SendErrorKind::InvalidResponse,
                    verdict: Verdict::MayHaveRun,
                });
            }
        }
        Ok(bytes)
    }

    /// Reads the rest of the body and decodes it as JSON.
    pub async fn json<T: DeserializeOwned>(&mut self, limit: Bytes) -> Result<T, SendError> {
        let bytes = self.bytes(limit).await?;
        serde_json::from_slice(&bytes).map_err(|_| SendError {
            kind: SendErrorKind::InvalidResponse,
            verdict: Verdict::MayHaveRun,
        })
    }

    /// Reads the rest of the body and decodes it as MessagePack.
    pub async fn msgpack<T: DeserializeOwned>(&mut self, limit: Bytes) -> Result<T, SendError> {
        let bytes = self.bytes(limit).await?;
        from_msgpack(&bytes).map_err(|_| SendError {
            kind: SendErrorKind::InvalidResponse,
            verdict: Verdict::MayHaveRun,
        })
    }
}
