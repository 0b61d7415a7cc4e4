//! The permission to write a request.

use {
    clock::{Clock, Instant},
    std::io,
};

/// Permission to write a request until a time.
pub(crate) struct SendPermission<'a> {
    clock: &'a dyn Clock,
    until: Instant,
    /// When the request was fully written.
    pub(crate) written: Option<Instant>,
}

impl<'a> SendPermission<'a> {
    pub(crate) fn new(clock: &'a dyn Clock, until: Instant) -> Self {
        Self {
            clock,
            until,
            written: None,
        }
    }

    /// Fails once the permission has run out.
    pub(crate) fn check(&self) -> io::Result<()> {
        if self.clock.now() >= self.until {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Notes that the request is fully written.
    pub(crate) fn finish(&mut self) {
        self.written.get_or_insert(self.clock.now());
    }
}
