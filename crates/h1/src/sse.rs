//! Splits a byte stream into server-sent events.

use std::{error::Error, fmt};

/// Longest accepted event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Length of the longest sequence that ends an event.
const MAX_EVENT_END_BYTES: usize = 4;

/// One event as received, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event.
    pub raw: Vec<u8>,
}

impl Event {
    /// Value of the event's first `data` line.
    pub fn data(&self) -> Option<&[u8]> {
        self.raw
            .split(|b| *b == b'\n')
            .find_map(|line| line.strip_prefix(b"data:"))
            .map(|line| line.trim_ascii())
    }

    /// Id of the event, if it is a number.
    pub fn id(&self) -> Option<u64> {
        let mut lines = self.raw.split(|b| *b == b'\n');
        let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
    }

    /// Whether it holds comments only, which keep the connection alive.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.raw.split(|b| *b == b'\n').map(<[u8]>::trim_ascii);
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }

    /// Whether this event marks the end of the stream.
    pub fn is_done(&self) -> bool {
        self.data() == Some(b"[DONE]")
    }
}

/// Why a stream could not be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SseError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

impl fmt::Display for SseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "event longer than {MAX_EVENT_BYTES} bytes"),
        }
    }
}

impl Error for SseError {}

/// Splits bytes into events, however the bytes are divided into chunks.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Bytes of the incomplete event that were searched for its end.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, SseError> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        let mut from = self.searched.saturating_sub(MAX_EVENT_END_BYTES - 1);
        while let Some(size) = find_event_end(&self.buf[from..]) {
            let end = from + size;
            let raw = self.buf[start..end].to_vec();
            events.push(Event { raw });
            (start, from) = (end, end);
        }
        self.buf.drain(..start);
        self.searched = self.buf.len();
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        Ok(events)
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Position after the first blank line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n');
    let mut ends = line_ends.filter_map(|(at, _)| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] if bytes[..at].ends_with(b"\r") => Some(at + 3),
        _ => None,
    });
    ends.next()
}
