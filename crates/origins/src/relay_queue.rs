//! Streams that the first hub of a zone tells the hubs of other zones of.

use {
    super::StreamKey,
    clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Time for which the second hub of a zone keeps what the first one passes on, which may be gone: until
/// it takes its place.
const TAKEOVER_TIME: Duration = Duration::from_secs(3);
const MAX_QUEUED: usize = 32_768;

/// Streams with the time when this VM heard of them.
#[derive(Debug, Default)]
pub(crate) struct RelayQueue(VecDeque<(Instant, StreamKey)>);

impl RelayQueue {
    pub(crate) fn push(&mut self, now: Instant, key: StreamKey) {
        if self.0.len() >= MAX_QUEUED {
            self.0.pop_front();
        }
        self.0.push_back((now, key));
    }

    /// The next stream.
    pub(crate) fn pop(&mut self) -> Option<StreamKey> {
        self.0.pop_front().map(|(_, key)| key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops what another hub has passed on.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.0.front()
            && now.since(*at) >= TAKEOVER_TIME
        {
            self.0.pop_front();
        }
    }
}
