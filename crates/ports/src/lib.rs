//! The platform's service as celerystage uses it: the append-only log, the VM list, the ordering
//! interface for endpoints and the usage-report interface, over HTTP with JSON.

mod error;
mod http;
mod log_api;
mod order;
mod place;
mod usage;

pub use {
    error::PlatformError,
    http::HttpPlatform,
    log_api::{AppendBody, Appended, Page, Record, Stream},
    order::{Order, OrderAction, OrderId},
    place::{Endpoint, EndpointState, Vm, VmList, VmState, ZoneEndpoints},
    usage::{UsageLine, UsageReport},
};

use std::{future::Future, pin::Pin, time::Duration};

/// A call to the platform in the making.
pub type Asked<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// The append-only log.
pub trait Log: Send + Sync {
    /// Appends one record and returns its offset. After an error with verdict `may_have_run` the
    /// record may be in the log.
    fn append<'a>(&'a self, stream: Stream, record: &'a str) -> Asked<'a, Appended>;

    /// Reads records from offset `from` on; waits up to `wait` when there are none yet.
    fn read(&self, stream: Stream, from: u64, wait: Duration) -> Asked<'_, Page>;
}

/// The lists of VMs and endpoints.
pub trait Directory: Send + Sync {
    /// Live and leaving VMs.
    fn vms(&self) -> Asked<'_, VmList>;

    /// Endpoints of every availability zone.
    fn endpoints(&self) -> Asked<'_, Vec<ZoneEndpoints>>;
}

/// The ordering interface.
pub trait Ordering: Send + Sync {
    /// Sends one order. An order id that was seen before has no further effect.
    fn order<'a>(&'a self, order: &'a Order) -> Asked<'a, ()>;
}

/// The usage-report interface.
pub trait Reports: Send + Sync {
    /// Reports the usage of one window.
    fn report<'a>(&'a self, report: &'a UsageReport) -> Asked<'a, ()>;
}
