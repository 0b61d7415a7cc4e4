//! The configuration of the fleet: its items, the changes to them, and the state after the changes
//! on the platform's log.

mod change;
mod config;
mod item;
mod key;

pub use {
    change::{Change, ChangeError, ChangeId, ChangeOutcome, Op},
    config::{Config, VersionedItem},
    item::{
        ApiKey, Class, EndpointKind, Item, LimitException, Limits, Model, Org, PoolBounds, Route,
        Targets,
    },
    key::{ItemKey, ParseKeyError},
};
