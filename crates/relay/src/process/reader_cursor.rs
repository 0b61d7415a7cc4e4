//! Which of its zone's readers a VM follows.

use {
    clock::Instant,
    std::{net::SocketAddr, time::Duration},
};

/// Time that a VM reads the platform itself after its readers were stale, and after which it tries
/// the first reader again.
pub(super) const DIRECT_READ_TIME: Duration = Duration::from_secs(4);

/// The reader that this VM follows, as an index into the zone's readers in their order.
#[derive(Debug, Default)]
pub(super) struct ReaderCursor {
    /// Index of the current reader.
    index: usize,
    /// When the first reader is tried again.
    reset_at: Instant,
}

impl ReaderCursor {
    pub(super) fn current(&mut self, now: Instant, readers: &[SocketAddr]) -> Option<SocketAddr> {
        if now >= self.reset_at || self.index >= readers.len() {
            self.index = 0;
        }
        readers.get(self.index).copied()
    }

    /// Moves on to the next reader; false if there is none.
    pub(super) fn advance(&mut self, now: Instant, readers: usize) -> bool {
        self.index = (self.index + 1) % readers.max(1);
        self.reset_at = now + DIRECT_READ_TIME;
        self.index != 0
    }
}
