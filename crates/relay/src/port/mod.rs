//! What an adapter provides: settings of the VM, the platform's shared log, its calls, and the headers
//! of callers and endpoints.

mod duty_api;
mod feed;
mod header_codec;
mod node;
mod shared_log;

pub use {
    duty_api::{CapacityOrder, DutyApi, FenceToken},
    feed::{Feed, FeedChange, FeedKind, FeedUpdate},
    header_codec::{CallerHeaders, ForwardHeaders, HeaderCodec, InvalidHeader, ResponseHeaders},
    node::{NodeSettings, Rules},
    shared_log::{AppendOutcome, LogRecords, SharedLog, Topic},
};
