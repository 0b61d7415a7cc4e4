//! Streams of unknown origin that hubs tell all VMs of: who doesn't hear of it may infer a release.

use {
    super::StreamKey,
    clock::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// How often and at which interval VMs are told.
const TELLS: u8 = 3;
const TELL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_QUEUED: usize = 4_096;

#[derive(Debug)]
struct Doubt {
    due: Instant,
    key: StreamKey,
    /// Whether the VMs of other zones are told as well.
    far: bool,
    tells: u8,
}

/// Streams, the next one to be told first.
#[derive(Debug, Default)]
pub(crate) struct DoubtQueue(VecDeque<Doubt>);

impl DoubtQueue {
    pub(crate) fn push(&mut self, now: Instant, key: StreamKey, far: bool) {
        if self.0.len() >= MAX_QUEUED {
            self.0.pop_front();
        }
        let doubt = Doubt {
            due: now,
            key,
            far,
            tells: TELLS,
        };
        // What is told again is due later.
        let at = self.0.partition_point(|d| d.due <= now);
        self.0.insert(at, doubt);
    }

    /// Takes a stream that is due, and whether other zones are told of it.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<(StreamKey, bool)> {
        if self.0.front()?.due > now {
            return None;
        }
        let mut doubt = self.0.pop_front()?;
        let taken = (doubt.key, doubt.far);
        doubt.tells -= 1;
        if doubt.tells > 0 {
            doubt.due = now + TELL_INTERVAL;
            self.0.push_back(doubt);
        }
        Some(taken)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
