//! Usage windows: entries count by organisation, the holder of a zone's usage lease collects the
//! counts, seals each window by a record on the log, and reports the sealed figures.
//!
//! Everything but [`Sealer`] is free of I/O.

mod chunk;
mod fold;
mod held;
mod ledger;
mod pull;
mod record;
mod sealer;
mod settings;
mod tally;
mod zone;

pub use {
    chunk::{Chunk, Counts, Source},
    fold::{Folded, Sealed, Windows},
    held::Held,
    ledger::Ledger,
    pull::{Collect, PULL_PATH, PullAnswer, PullRequest, Pulled},
    record::{Mark, Seal, UsageRecord, WindowId, WindowStart},
    sealer::{Sealer, SealerParts},
    settings::UsageSettings,
    tally::{Tally, TallyBook, TallyRecord, window_at},
    zone::ZoneCollector,
};
