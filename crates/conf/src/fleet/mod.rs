//! The fleet's configuration: items, changes and the fold over the platform's log.

mod change;
mod config;
mod item;
mod key;

pub use {
    change::{Change, ChangeId, Op, Outcome, Refused},
    config::{Config, Entry},
    item::{Class, EndpointKind, Exception, Item, Key, Limits, Model, Org, Pool, Route, Targets},
    key::{ItemKey, ParseKeyError},
};
