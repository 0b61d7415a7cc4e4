//! A time in which a VM could read the platform's endpoint list.

use {
    super::registry::MIN_LAPSE_OUTAGE,
    clock::Instant,
    serde::{Deserialize, Serialize},
};

/// From the first to the last of a series of successful reads, without a gap in which entries could
/// lapse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadSpan {
    pub(crate) first: Instant,
    pub(crate) last: Instant,
}

impl ReadSpan {
    /// `span` with one more read at `now`; a new span if entries could lapse since the last one.
    pub(crate) fn extended(span: Option<Self>, now: Instant) -> Self {
        let first = span
            .filter(|span| now.since(span.last) < MIN_LAPSE_OUTAGE)
            .map_or(now, |span| span.first);
        let last = span.map_or(now, |span| span.last.max(now));
        Self { first, last }
    }

    /// Whether no entry could lapse from `since` to `now`.
    pub(crate) fn covers(&self, since: Instant, now: Instant) -> bool {
        self.first <= since && now.since(self.last) < MIN_LAPSE_OUTAGE
    }
}

/// A read span as ages in milliseconds, for VMs with other clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReadAges {
    pub(crate) first: u64,
    pub(crate) last: u64,
}

impl ReadAges {
    /// The ages of the reads of `span` at `now`.
    pub(crate) fn of(span: ReadSpan, now: Instant) -> Self {
        let age = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Self {
            first: age(span.first),
            last: age(span.last),
        }
    }

    /// The span by the clock of a VM that received these ages at `now`.
    pub(crate) fn span_at(self, now: Instant) -> ReadSpan {
        let at = |age: u64| {
            Instant::from_nanos(now.nanos().saturating_sub(age.saturating_mul(1_000_000)))
        };
        ReadSpan {
            first: at(self.first),
            last: at(self.last),
        }
    }
}
