//! Decoding of bodies.

use {
    super::{Conn, Framing},
    std::{error::Error, fmt, io},
    types::Bytes,
};

/// Longest accepted line of a chunk size or trailer.
const MAX_LINE: usize = 4096;

/// Why a body could not be read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed or ended early.
    Io(io::Error),
    /// A malformed chunk.
    Malformed,
    /// More bytes than the limit.
    TooLarge,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "connection lost within the body: {e}"),
            Self::Malformed => f.write_str("malformed chunk"),
            Self::TooLarge => f.write_str("body over the size limit"),
        }
    }
}

impl Error for BodyError {}

impl From<io::Error> for BodyError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Close,
    Done,
}

/// Reads one body from a connection.
#[derive(Debug)]
pub struct BodyReader(State);

impl BodyReader {
    /// A reader for a body with this framing.
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

    /// Appends the next bytes of the body to `out`; false at its end.
    pub async fn next(&mut self, conn: &mut Conn, out: &mut Vec<u8>) -> Result<bool, BodyError> {
        loop {
            match self.0 {
                State::Done => return Ok(false),
                State::Length(left) | State::Chunk(left) => {
                    if conn.data().is_empty() {
                        fill(conn).await?;
                        continue;
                    }
                    let size = take(conn, out, left);
                    self.0 = match (self.0, left - size) {
                        (State::Length(_), 0) => State::Done,
                        (State::Length(_), left) => State::Length(left),
                        (_, 0) => State::ChunkEnd,
                        (_, left) => State::Chunk(left),
                    };
                    return Ok(true);
                }
                State::Close => {
                    if conn.data().is_empty() && conn.fill().await? == 0 {
                        self.0 = State::Done;
                        continue;
                    }
                    take(conn, out, u64::MAX);
                    return Ok(true);
                }
                State::ChunkSize => self.chunk_size(conn).await?,
                State::ChunkEnd => {
                    if !line(conn).await?.is_empty() {
                        return Err(BodyError::Malformed);
                    }
                    self.0 = State::ChunkSize;
                }
                State::Trailer => {
                    if line(conn).await?.is_empty() {
                        self.0 = State::Done;
                    }
                }
            }
        }
    }

    /// Reads the whole body, at most `limit`.
    pub async fn read_all(&mut self, conn: &mut Conn, limit: Bytes) -> Result<Vec<u8>, BodyError> {
        let mut body = Vec::new();
        if let State::Length(size) = self.0 {
            if size > limit.0 {
                return Err(BodyError::TooLarge);
            }
            body.reserve(usize::try_from(size).unwrap_or_default());
        }
        while self.next(conn, &mut body).await? {
            if body.len() as u64 > limit.0 {
                return Err(BodyError::TooLarge);
            }
        }
        Ok(body)
    }

    async fn chunk_size(&mut self, conn: &mut Conn) -> Result<(), BodyError> {
        loop {
            let parsed = httparse::parse_chunk_size(conn.data());
            match parsed.map_err(|_| BodyError::Malformed)? {
                httparse::Status::Complete((used, size)) => {
                    conn.consume(used);
                    self.0 = match size {
                        0 => State::Trailer,
                        size => State::Chunk(size),
                    };
                    return Ok(());
                }
                httparse::Status::Partial if conn.data().len() > MAX_LINE => {
                    return Err(BodyError::Malformed);
                }
                httparse::Status::Partial => fill(conn).await?,
            }
        }
    }
}

fn take(conn: &mut Conn, out: &mut Vec<u8>, most: u64) -> u64 {
    let size = most.min(conn.data().len() as u64);
    let used = usize::try_from(size).unwrap_or(usize::MAX);
    out.extend_from_slice(&conn.data()[..used]);
    conn.consume(used);
    size
}

async fn fill(conn: &mut Conn) -> Result<(), BodyError> {
    if conn.fill().await? == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(())
}

/// Reads a line without its end.
async fn line(conn: &mut Conn) -> Result<Vec<u8>, BodyError> {
    loop {
        if let Some(end) = conn.data().windows(2).position(|w| w == b"\r\n") {
            let line = conn.data()[..end].to_vec();
            conn.consume(end + 2);
            return Ok(line);
        }
        if conn.data().len() > MAX_LINE {
            return Err(BodyError::Malformed);
        }
        fill(conn).await?;
    }
}
