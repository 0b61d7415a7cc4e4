//! Configuration: settings of one process, read from YAML at start, and the fleet's configuration,
//! folded from the changes that operators publish.

mod fleet;
mod settings;

pub use {
    fleet::{
        ApiKey, Change, ChangeError, ChangeId, ChangeOutcome, Class, Config, EndpointKind, Item,
        ItemKey, LimitException, Limits, Model, Op, Org, ParseKeyError, Pool, Route, Targets,
        VersionedItem,
    },
    settings::{SettingsError, Validate, load_settings},
};
