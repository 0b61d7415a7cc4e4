//! Requests to the log and its answers.

/// A conditional append: a record, and the offset at which the log has to end.
#[derive(Debug, Clone)]
pub(crate) struct Append {
    pub(crate) bytes: Vec<u8>,
    pub(crate) at: u64,
}

/// Answer to a read.
#[derive(Debug, Clone)]
pub(crate) enum ReadAnswer {
    Records(Records),
    /// The log doesn't have the offset; it starts at this one.
    Missing(u64),
}

/// Records from an offset on.
#[derive(Debug, Clone)]
pub(crate) struct Records {
    pub(crate) era: u64,
    pub(crate) end: u64,
    pub(crate) from: u64,
    pub(crate) items: Vec<Vec<u8>>,
}

impl Records {
    /// The records with their offsets.
    pub(crate) fn numbered(&self) -> impl Iterator<Item = (u64, &[u8])> {
        let items = self.items.iter().map(Vec::as_slice);
        (self.from..).zip(items)
    }

    /// Whether the read has reached the end of the log.
    pub(crate) fn is_complete(&self) -> bool {
        self.from + self.items.len() as u64 >= self.end
    }
}

/// Answer to an append.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AppendAnswer {
    pub(crate) era: u64,
    /// The end of the log after the append.
    pub(crate) end: u64,
    /// The offset of the record; `None` if the log ended elsewhere.
    pub(crate) offset: Option<u64>,
}
