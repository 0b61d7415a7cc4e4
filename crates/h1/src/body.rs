//! Decoding of message bodies.

use {
    super::{Conn, Framing},
    std::{error::Error, fmt, io},
    types::Bytes,
};

/// Longest accepted line of a chunk size or trailer field.
const MAX_LINE_BYTES: usize = 4096;
/// Most trailer fields that are skipped after a chunked body.
const MAX_TRAILER_FIELDS: u32 = 64;

/// Why a body could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed, or closed before the end of the body.
    Io(io::Error),
    /// Invalid chunked encoding.
    Malformed,
    /// The body is larger than the limit.
    TooLarge,
    /// There is no memory left for the body.
    NoRoom,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "connection lost within the body: {e}"),
            Self::Malformed => f.write_str("malformed chunk"),
            Self::TooLarge => f.write_str("body over the size limit"),
            Self::NoRoom => f.write_str("no memory left for the body"),
        }
    }
}

impl Error for BodyError {}

impl From<io::Error> for BodyError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

/// What the reader expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// This many bytes of a body of known length.
    Length(u64),
    ChunkSize,
    /// This many bytes of a chunk.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// A trailer field or the empty line after the last one; so many fields were skipped.
    Trailer(u32),
    /// Bytes until the connection closes.
    Close,
    Done,
}

/// Reads one message body from a connection.
#[derive(Debug)]
pub struct BodyReader(State);

impl BodyReader {
    /// Creates a reader for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(size) => State::Length(size),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::Close,
        })
    }

    /// Whether the body was read to its end.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Appends the next bytes of the body to `out`; returns `false` at its end.
    pub async fn next(&mut self, conn: &mut Conn, out: &mut Vec<u8>) -> Result<bool, BodyError> {
        loop {
            match self.0 {
                State::Done => return Ok(false),
                State::Length(remaining) | State::Chunk(remaining) => {
                    if conn.buffered().is_empty() {
                        fill(conn).await?;
                        continue;
                    }
                    let size = take(conn, out, remaining);
                    self.0 = match (self.0, remaining - size) {
                        (State::Length(_), 0) => State::Done,
                        (State::Length(_), remaining) => State::Length(remaining),
                        (_, 0) => State::ChunkEnd,
                        (_, remaining) => State::Chunk(remaining),
                    };
                    return Ok(true);
                }
                State::Close => {
                    if conn.buffered().is_empty() && conn.fill().await? == 0 {
                        self.0 = State::Done;
                        continue;
                    }
                    take(conn, out, u64::MAX);
                    return Ok(true);
                }
                State::ChunkSize => self.read_chunk_size(conn).await?,
                State::ChunkEnd => {
                    if !read_line(conn).await?.is_empty() {
                        return Err(BodyError::Malformed);
                    }
                    self.0 = State::ChunkSize;
                }
                State::Trailer(skipped) if skipped >= MAX_TRAILER_FIELDS => {
                    return Err(BodyError::TooLarge);
                }
                State::Trailer(skipped) => {
                    let is_end = read_line(conn).await?.is_empty();
                    self.0 = if is_end {
                        State::Done
                    } else {
                        State::Trailer(skipped + 1)
                    };
                }
            }
        }
    }

    /// Reads the whole body; fails if it is larger than `limit`.
    pub async fn read_all(&mut self, conn: &mut Conn, limit: Bytes) -> Result<Vec<u8>, BodyError> {
        self.read_within(conn, limit, |_| true).await
    }

    /// Like `read_all`, with a check of the memory: `has_room` gets the size of the buffer before the first read and whenever it has
    /// grown. The read fails with `NoRoom` if it returns false.
    pub async fn read_within(
        &mut self,
        conn: &mut Conn,
        limit: Bytes,
        has_room: impl Fn(Bytes) -> bool,
    ) -> Result<Vec<u8>, BodyError> {
        let mut body = Vec::new();
        if let State::Length(size) = self.0 {
            if size > limit.0 {
                return Err(BodyError::TooLarge);
            }
            if !has_room(Bytes(size)) {
                return Err(BodyError::NoRoom);
            }
            body.reserve_exact(usize::try_from(size).unwrap_or_default());
        }
        let mut capacity = body.capacity();
        while self.next(conn, &mut body).await? {
            if body.len() as u64 > limit.0 {
                return Err(BodyError::TooLarge);
            }
            if body.capacity() > capacity {
                capacity = body.capacity();
                if !has_room(Bytes(capacity as u64)) {
                    return Err(BodyError::NoRoom);
                }
            }
        }
        Ok(body)
    }

    async fn read_chunk_size(&mut self, conn: &mut Conn) -> Result<(), BodyError> {
        loop {
            let parsed = httparse::parse_chunk_size(conn.buffered());
            match parsed.map_err(|_| BodyError::Malformed)? {
                httparse::Status::Complete((used, size)) => {
                    conn.consume(used);
                    self.0 = match size {
                        0 => State::Trailer(0),
                        size => State::Chunk(size),
                    };
                    return Ok(());
                }
                httparse::Status::Partial if conn.buffered().len() > MAX_LINE_BYTES => {
                    return Err(BodyError::Malformed);
                }
                httparse::Status::Partial => fill(conn).await?,
            }
        }
    }
}

/// Moves at most `max` buffered bytes from the connection to `out`; returns their number.
fn take(conn: &mut Conn, out: &mut Vec<u8>, max: u64) -> u64 {
    let size = max.min(conn.buffered().len() as u64);
    let used = usize::try_from(size).unwrap_or(usize::MAX);
    out.extend_from_slice(&conn.buffered()[..used]);
    conn.consume(used);
    size
}

/// Reads more bytes into the connection's buffer; a closed connection is an error.
async fn fill(conn: &mut Conn) -> Result<(), BodyError> {
    if conn.fill().await? == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(())
}

/// Reads a line and returns it without its line end.
async fn read_line(conn: &mut Conn) -> Result<Vec<u8>, BodyError> {
    loop {
        if let Some(end) = conn.buffered().windows(2).position(|w| w == b"\r\n") {
            let line = conn.buffered()[..end].to_vec();
            conn.consume(end + 2);
            return Ok(line);
        }
        if conn.buffered().len() > MAX_LINE_BYTES {
            return Err(BodyError::Malformed);
        }
        fill(conn).await?;
    }
}
