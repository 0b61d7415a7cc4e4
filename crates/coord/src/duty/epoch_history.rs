//! Which fencing tokens may have been given out.

use types::{Epoch, Era, LogPosition};

/// Distance of the tokens of two eras: more than the number of claims in one. Tokens stay below
/// 2^53 for two million eras.
const ERA_STEP: u64 = 1 << 32;

/// The highest fencing token that is known, and the era up to which it is.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EpochHistory {
    last: Option<Epoch>,
    era: Option<Era>,
}

impl EpochHistory {
    /// Notes a token that was used in `era`.
    pub(super) fn note(&mut self, era: Era, epoch: Epoch) {
        self.last = self.last.max(Some(epoch));
        self.era = self.era.max(Some(era));
    }

    /// Whether no record of this era is known, so that records of earlier ones may be lost.
    pub(super) fn lacks(&self, era: Era) -> bool {
        self.era.is_none_or(|known| known < era)
    }

    /// The token of a claim at the end of the log: above all that were given out. It is the offset
    /// of the claim, as in earlier releases, until claims may have been lost. `unused` tells that the
    /// log was never written to.
    pub(super) fn next(&self, end: LogPosition, unused: bool) -> Epoch {
        let above = self.last.map_or(0, |e| e.0.saturating_add(1));
        let start = end.era.0.saturating_mul(ERA_STEP);
        let base = match self.lacks(end.era) && !unused || above > start {
            true => start,
            false => 0,
        };
        Epoch(above.max(base.saturating_add(end.offset)))
    }
}
