//! Usage accounting in windows. Entries count requests and tokens by organisation. The holder of a
//! zone's usage lease collects the counts, seals each window with a record on the log, and reports
//! the sealed figures to the platform.
//!
//! Only [`Sealer`] and [`ZoneCollector`] do I/O.

mod chunk;
mod count_backlog;
mod pull;
mod record;
mod seal_timing;
mod sealer;
mod settings;
mod unsealed_chunks;
mod usage_counter;
mod usage_state;
mod window_counter;
mod zone_collector;

pub use {
    chunk::{Chunk, ChunkSource, Counts},
    count_backlog::CountBacklog,
    pull::{Collector, PULL_PATH, PullFuture, PullRequest, PullResponse},
    record::{Seal, UsageRecord, Watermark, WindowId, WindowStart},
    seal_timing::SealTiming,
    sealer::{Sealer, SealerContext},
    settings::UsageSettings,
    unsealed_chunks::UnsealedChunks,
    usage_counter::UsageCounter,
    usage_state::{FoldOutcome, UnreportedWindow, UsageState},
    window_counter::{WindowCountRecord, WindowCounter, WindowCounts, WindowTotals, window_at},
    zone_collector::ZoneCollector,
};
