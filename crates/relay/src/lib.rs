//! The router process of one VM. It forwards callers' requests to endpoints, follows the platform's
//! configuration and endpoint list, and performs the duties that one VM of the fleet holds at a
//! time. The VMs coordinate through the platform's shared log.
//!
//! `request`, `connection`, `configuration` and `process` are divided by the lifetime of the state
//! that they hold: one request, one connection, one version of the configuration, the whole process.
//! `adapter` defines what a platform adapter provides; `endpoints` and `peers` hold this VM's view of
//! the endpoints and of the other VMs.

mod adapter;
mod configuration;
mod connection;
mod endpoints;
mod peers;
mod process;
mod request;

pub use {
    adapter::{
        AppendOutcome, CallerHeaders, CapacityOrder, DutyApi, Feed, FeedChange, FeedKind,
        FeedUpdate, ForwardHeaders, HeaderCodec, InvalidHeader, KeyedRecords, LogRecords,
        NodeSettings, PlatformBounds, ResponseHeaders, SharedLog, Topic,
    },
    configuration::{
        CallerLimits, Config, ConfigDoc, EngineSpec, Org, Route, RouteKind, Scaling, Service,
    },
    endpoints::{Endpoint, EvacuationTable, Registry, RegistryChange},
    process::{Adapter, NodeProcess, run_node},
};
