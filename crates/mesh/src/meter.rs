//! Counts what the exchange costs: messages and bytes of their bodies.

/// Which way a message went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From this process.
    Sent,
    /// To this process.
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
pub fn count_message(path: &'static str, way: Direction, bytes: usize) {
    let way = way.as_str();
    metrics::counter!("celerystage_mesh_messages_total", "path" => path, "way" => way).increment(1);
    metrics::counter!("celerystage_mesh_bytes_total", "path" => path, "way" => way)
        .increment(bytes as u64);
}
