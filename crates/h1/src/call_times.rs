//! When the parts of a call were done.

use clock::Instant;

/// When the parts of a call were done; `None` for those that weren't.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallTimes {
    /// The connection was open.
    pub opened: Option<Instant>,
    /// The system had taken the whole request.
    pub written: Option<Instant>,
}
