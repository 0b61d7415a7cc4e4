//! The platform's API as celerystage uses it: the append-only log, the lists of VMs and endpoints,
//! orders for endpoints, and usage reports, over HTTP with JSON.

mod directory;
mod error;
mod http;
mod log_api;
mod order;
mod usage;

pub use {
    directory::{Endpoint, EndpointState, Vm, VmList, VmState, ZoneEndpoints},
    error::PlatformError,
    http::HttpPlatform,
    log_api::{AppendBody, Appended, Page, Record, Stream},
    order::{Order, OrderAction, OrderId},
    usage::{UsageLine, UsageReport},
};

use std::{future::Future, pin::Pin, time::Duration};

/// The future of a call to the platform.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// The platform's append-only log.
pub trait Log: Send + Sync {
    /// Appends one record and returns its offset. After an error with verdict `may_have_run` the
    /// record may be in the log.
    fn append<'a>(&'a self, stream: Stream, record: &'a str) -> PlatformFuture<'a, Appended>;

    /// Reads records from offset `from` on; waits up to `wait` if there are none yet.
    fn read(&self, stream: Stream, from: u64, wait: Duration) -> PlatformFuture<'_, Page>;
}

/// The platform's lists of VMs and endpoints.
pub trait Directory: Send + Sync {
    /// The live and leaving VMs.
    fn vms(&self) -> PlatformFuture<'_, VmList>;

    /// The endpoints of every availability zone.
    fn endpoints(&self) -> PlatformFuture<'_, Vec<ZoneEndpoints>>;
}

/// The platform's interface for ordering endpoints.
pub trait OrderApi: Send + Sync {
    /// Sends an order. Repeating an order with the same id has no further effect.
    fn order<'a>(&'a self, order: &'a Order) -> PlatformFuture<'a, ()>;
}

/// The platform's interface for usage reports.
pub trait UsageApi: Send + Sync {
    /// Reports the usage of one window.
    fn report<'a>(&'a self, report: &'a UsageReport) -> PlatformFuture<'a, ()>;
}
