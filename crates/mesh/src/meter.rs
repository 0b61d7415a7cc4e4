//! Metrics of the traffic between VMs: messages and body bytes.

/// Direction of a message, as seen by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this process.
    Sent,
    /// Received by this process.
    Received,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Counts one message body of `bytes` on `path`.
pub fn count_message(path: &'static str, direction: Direction, bytes: usize) {
    let direction = direction.as_str();
    metrics::counter!("celerystage_mesh_messages_total", "path" => path, "way" => direction)
        .increment(1);
    metrics::counter!("celerystage_mesh_bytes_total", "path" => path, "way" => direction)
        .increment(bytes as u64);
}
