//! What lives as long as one version of the configuration.

mod config;
mod route;
mod service;

pub use {
    config::{CallerLimits, Config, ConfigDoc, Org},
    route::{Route, RouteKind},
    service::{EngineSpec, Scaling, Service},
};
