//! The release that began each stream, so that a caller who comes back is served by the same release.
//!
//! Designed for these conditions: endpoints of a service run several releases side by side, or one
//! after the other; a caller whose connection broke comes back at any VM moments later; the VM that
//! served is killed, restarted or cut off; datagrams between VMs are lost, late and repeated; lists of
//! endpoints are out of date. A release that cannot be known is unknown, never guessed. While one
//! release serves, VMs tell each other nothing.

mod askers;
mod assignment;
mod assignments;
mod doubt_queue;
mod observed_record;
mod origin_log;
mod origin_news;
mod origin_queries;
mod origin_table;
mod origins;
mod relay_queue;
mod release_history;
mod release_ledger;
mod release_record;
mod reweighted;
mod stream_key;
mod weights;

pub use {
    assignment::ReleaseAssignment,
    assignments::{AssignmentSnapshot, Binding, ReleaseChoice},
    origin_log::{LogNeed, LogWrite, LoggedOrigins},
    origin_news::{MAX_DATAGRAM_BYTES, OriginAsk, OriginNews, OriginRecord},
    origin_table::{Known, Origin, OriginTable},
    origins::{Doubts, Lookup, Origins, Reaction},
    release_history::{MAX_LIST_AGE, ReleaseHistory, SETTLE_TIME},
    release_ledger::{LedgerStep, ReleaseLedger},
    release_record::{ReleaseRecord, WeightRecord},
    stream_key::StreamKey,
};
