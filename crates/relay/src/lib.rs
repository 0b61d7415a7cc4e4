//! The router process of a VM whose fleet coordinates through the platform's shared log: callers'
//! requests to endpoints, the configuration and endpoints that it follows, duties that one VM holds at
//! a time.
//!
//! Modules are cut by life span: `request`, `connection`, `version`, `process`. What an adapter provides
//! is in `port`; `fleet` and `peers` hold what is believed of endpoints and of other VMs.

mod adapter;
mod configuration;
mod connection;
mod endpoints;
mod peers;
mod process;
mod request;

pub use {
    adapter::{
        AppendOutcome, Bounds, CallerHeaders, CapacityOrder, DutyApi, Feed, FeedChange, FeedKind,
        FeedUpdate, FenceToken, ForwardHeaders, HeaderCodec, InvalidHeader, LogRecords,
        NodeSettings, ResponseHeaders, SharedLog, Topic,
    },
    configuration::{
        CallerLimits, Config, ConfigDoc, EngineSpec, Org, Route, RouteKind, Scaling, Service,
    },
    endpoints::{Endpoint, Registry, RegistryChange},
    process::{Adapter, NodeProcess, run_node},
};
