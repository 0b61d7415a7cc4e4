//! What an adapter provides: settings of the VM, the platform's shared log, its calls, and the headers
//! of callers and endpoints.

mod duties;
mod feed;
mod header_codec;
mod node;
mod shared_log;

pub use {
    duties::{CapacityOrder, Duties, Fence},
    feed::{Change, Feed, FeedKind, News},
    header_codec::{CallerHeaders, ForwardHeaders, HeaderCodec, InvalidHeader, ResponseHeaders},
    node::{NodeSettings, Rules},
    shared_log::{Appended, Entries, SharedLog, Topic},
};
