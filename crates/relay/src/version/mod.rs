//! What lives as long as one version of the configuration.

mod catalog;
mod route;
mod service;

pub use {
    catalog::{CallerLimits, Catalog, CatalogDoc, Org},
    route::{Kind, Route, RouteDoc},
    service::{Engine, Scaling, Service},
};
