//! What an adapter provides: settings of the VM, the platform's shared log, its calls, and the headers
//! of callers and endpoints.

mod dialect;
mod duties;
mod feed;
mod node;
mod shared_log;

pub use {
    dialect::{BadHead, CallerHead, Dialect, EndpointSays, Hop},
    duties::{CapacityOrder, Duties, Fence},
    feed::{Change, Feed, FeedKind, News},
    node::{NodeSettings, Rules},
    shared_log::{Appended, Entries, SharedLog, Topic},
};
