//! What a platform adapter provides: the settings of the VM, the feeds of configuration and
//! endpoints, the shared log, the calls of the duty holder, and the header fields of callers and
//! endpoints.

mod duty_api;
mod feed;
mod header_codec;
mod settings;
mod shared_log;

pub use {
    duty_api::{CapacityOrder, DutyApi},
    feed::{Feed, FeedChange, FeedKind, FeedUpdate},
    header_codec::{CallerHeaders, ForwardHeaders, HeaderCodec, InvalidHeader, ResponseHeaders},
    settings::{NodeSettings, PlatformBounds},
    shared_log::{AppendOutcome, KeyedRecords, LogRecords, SharedLog, Topic},
};
