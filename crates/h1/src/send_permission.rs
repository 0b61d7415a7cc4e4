//! The permission to write a request.

use {
    clock::{Clock, Instant},
    std::io,
};

/// Permission to write a request until a time.
pub(crate) struct SendPermission<'a> {
    clock: &'a dyn Clock,
    until: Instant,
}

impl<'a> SendPermission<'a> {
    pub(crate) fn new(clock: &'a dyn Clock, until: Instant) -> Self {
        Self { clock, until }
    }

    /// Fails once the permission has run out.
    pub(crate) fn check(&self) -> io::Result<()> {
        if self.clock.now() >= self.until {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}
