//! Reads and checks a message head before it is passed to the codec.
//!
//! The codec panics on header values outside ASCII, starts a second executor on
//! `Expect: 100-continue`, and loses bytes that follow a head in the same packet.

use {
    super::SharedStream,
    futures_lite::io::AsyncReadExt,
    std::{error::Error, fmt, io},
};

/// Longest head that the codec accepts.
const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
const HEAD_END: &[u8] = b"\r\n\r\n";
const READ_BUFFER_BYTES: usize = 4096;

/// Kind of message that a head belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadKind {
    /// A request.
    Request,
    /// A response.
    Response,
}

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The head gives no length.
    Unspecified,
    /// After this many bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
}

/// A checked head.
#[derive(Debug)]
pub(crate) struct Head {
    /// Bytes of the head with the final blank line, without any `Expect` header.
    pub(crate) bytes: Vec<u8>,
    /// How the end of the body is determined.
    pub(crate) framing: Framing,
    /// Whether the sender waits for `100 Continue`.
    pub(crate) expects_continue: bool,
}

/// Why a head could not be read.
#[derive(Debug)]
pub(crate) enum HeadError {
    /// The peer closed the stream before the first byte.
    Closed,
    /// The stream closed or failed within the head.
    Interrupted(io::Error),
    /// The head is longer than [`MAX_HEAD_BYTES`].
    TooLong,
    /// The head is not valid, for this reason.
    Malformed(&'static str),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => write!(f, "connection closed"),
            Self::Interrupted(e) => write!(f, "connection cut inside the head: {e}"),
            Self::TooLong => write!(f, "head longer than {MAX_HEAD_BYTES} bytes"),
            Self::Malformed(what) => write!(f, "malformed head: {what}"),
        }
    }
}

impl Error for HeadError {}

impl Head {
    /// Reads one head. `leftover` may hold bytes that an earlier call read past its own message;
    /// bytes read past this head are left in it.
    pub(crate) async fn read(
        conn: &mut SharedStream,
        leftover: &mut Vec<u8>,
        kind: HeadKind,
    ) -> Result<Self, HeadError> {
        let mut searched = 0;
        loop {
            if let Some(end) = find_head_end(leftover, searched) {
                let rest = leftover.split_off(end);
                let bytes = std::mem::replace(leftover, rest);
                return Self::check(&bytes, kind);
            }
            if leftover.len() > MAX_HEAD_BYTES {
                return Err(HeadError::TooLong);
            }
            searched = leftover.len().saturating_sub(HEAD_END.len());
            let mut buf = [0; READ_BUFFER_BYTES];
            let n = conn.read(&mut buf).await.map_err(HeadError::Interrupted)?;
            if n == 0 {
                return Err(closed_error(leftover));
            }
            leftover.extend_from_slice(&buf[..n]);
        }
    }

    /// Whether it is the head of an interim response, which has no body and precedes the final one.
    pub(crate) fn is_interim(&self) -> bool {
        let mut words = self.bytes.split(|b| *b == b' ');
        words.nth(1).is_some_and(|status| status.starts_with(b"1"))
    }

    fn check(bytes: &[u8], kind: HeadKind) -> Result<Self, HeadError> {
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLong);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| HeadError::Malformed("not UTF-8"))?;
        if !text.is_ascii() {
            return Err(HeadError::Malformed("characters outside ASCII"));
        }
        let mut scan = FramingScan::default();
        let mut kept = Vec::with_capacity(bytes.len());
        for (i, line) in text.split_inclusive("\r\n").enumerate() {
            if i > 0 && scan.read_line(line)? == Keep::No {
                continue;
            }
            kept.extend_from_slice(line.as_bytes());
        }
        let framing = scan.framing(kind)?;
        Ok(Self {
            bytes: kept,
            framing,
            expects_continue: scan.expects_continue,
        })
    }
}

fn closed_error(leftover: &[u8]) -> HeadError {
    if leftover.is_empty() {
        return HeadError::Closed;
    }
    HeadError::Interrupted(io::ErrorKind::UnexpectedEof.into())
}

fn find_head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let found = bytes[from..]
        .windows(HEAD_END.len())
        .position(|w| w == HEAD_END)?;
    Some(from + found + HEAD_END.len())
}

/// Whether a header line is passed to the codec.
#[derive(PartialEq, Eq)]
enum Keep {
    Yes,
    No,
}

/// Values of the headers that determine the framing of the body, collected line by line.
#[derive(Default)]
struct FramingScan {
    length: Option<u64>,
    chunked: bool,
    expects_continue: bool,
}

impl FramingScan {
    fn read_line(&mut self, line: &str) -> Result<Keep, HeadError> {
        let line = line.trim_end_matches("\r\n");
        if line.is_empty() {
            return Ok(Keep::Yes);
        }
        if line.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
            return Err(HeadError::Malformed("control character"));
        }
        let (name, value) = line
            .split_once(':')
            .ok_or(HeadError::Malformed("header line without a colon"))?;
        if name.is_empty() || name.contains([' ', '\t']) {
            return Err(HeadError::Malformed("white space in a header name"));
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            self.read_length(value)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.read_encoding(value)?;
        } else if name.eq_ignore_ascii_case("expect") {
            self.expects_continue = value.eq_ignore_ascii_case("100-continue");
            return Ok(Keep::No);
        }
        Ok(Keep::Yes)
    }

    fn read_length(&mut self, value: &str) -> Result<(), HeadError> {
        if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
            return Err(HeadError::Malformed("Content-Length is not a number"));
        }
        let length = value
            .parse()
            .map_err(|_| HeadError::Malformed("Content-Length too large"))?;
        if self.length.replace(length).is_some() {
            return Err(HeadError::Malformed("more than one Content-Length"));
        }
        Ok(())
    }

    fn read_encoding(&mut self, value: &str) -> Result<(), HeadError> {
        if !value.eq_ignore_ascii_case("chunked") || self.chunked {
            return Err(HeadError::Malformed("Transfer-Encoding other than chunked"));
        }
        self.chunked = true;
        Ok(())
    }

    fn framing(&self, kind: HeadKind) -> Result<Framing, HeadError> {
        match (self.length, self.chunked, kind) {
            (Some(_), true, _) => Err(HeadError::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (Some(n), false, _) => Ok(Framing::Length(n)),
            (None, true, _) => Ok(Framing::Chunked),
            (None, false, HeadKind::Request) => Ok(Framing::Length(0)),
            (None, false, HeadKind::Response) => Ok(Framing::Unspecified),
        }
    }
}
