//! One version of the operators' configuration: routes, services, organisations and limits.

mod config;
mod route;
mod service;

pub(crate) use route::select_service;
pub use {
    config::{CallerLimits, Config, ConfigDoc, Org},
    route::{Route, RouteKind},
    service::{EngineSpec, Scaling, Service},
};
