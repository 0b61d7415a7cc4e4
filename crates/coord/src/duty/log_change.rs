//! Losses of the duty log.

/// Whether an answer of the log continues what is known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogChange {
    /// It does.
    Continues,
    /// The log has lost its newest records: it must be read from its first one.
    Restarted,
    /// The answer is older than others that were seen, and must be ignored.
    Outdated,
}
