//! Tasks and shared state that live as long as the process.

mod accounting;
mod admission;
mod assignments;
mod byte_budget;
mod capacity_planner;
mod carriers;
mod count_store;
mod crashes;
mod duty_worker;
mod endpoint_list;
mod evacuations;
mod feed_reader;
mod gossip;
mod lifecycle;
mod links;
mod liveness;
mod node;
mod notices;
mod origin_log;
mod origin_news;
mod placement;
mod reader_cursor;
mod release_records;
mod run;
mod shutdown;
mod state_source;
mod state_sync;
mod state_trailer;
mod stream_origins;
mod stream_services;
mod summaries;
mod usage_reporter;
mod wall_clock;
mod weight_changes;

pub(crate) use {
    byte_budget::{ByteBudget, ByteLease},
    carriers::CarrierLease,
    feed_reader::Freshness,
    lifecycle::{ConnectionGuard, Lifecycle},
    liveness::ConnectionChecks,
    node::Node,
    stream_origins::StreamOrigins,
    stream_services::StreamService,
    wall_clock::WallClock,
};
pub use {
    node::NodeProcess,
    run::{Adapter, run_node},
};
