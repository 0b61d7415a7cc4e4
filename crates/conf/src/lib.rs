//! Configuration: the settings of one process, read from a YAML file at start, and the
//! configuration of the fleet, built from the changes that operators publish on the log.

mod fleet;
mod settings;

pub use {
    fleet::{
        ApiKey, Change, ChangeError, ChangeId, ChangeOutcome, Class, Config, EndpointKind, Item,
        ItemKey, LimitException, Limits, Model, Op, Org, ParseKeyError, PoolBounds, Route, Targets,
        VersionedItem,
    },
    settings::{SettingsError, Validate, load_settings},
};
