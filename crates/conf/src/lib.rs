//! Configuration: settings of one process, read from YAML at start, and the fleet's configuration,
//! folded from the changes that operators publish.

mod fleet;
mod settings;

pub use {
    fleet::{
        Change, ChangeId, Class, Config, EndpointKind, Entry, Exception, Item, ItemKey, Key,
        Limits, Model, Op, Org, Outcome, ParseKeyError, Pool, Refused, Route, Targets,
    },
    settings::{Check, SettingsError, load_settings},
};
