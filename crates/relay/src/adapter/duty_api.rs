//! Calls to the platform that only the duty holder may send.

use {
    coord::DutyPermit,
    ports::PlatformFuture,
    std::{collections::BTreeMap, time::Duration},
    types::{OrgId, ServiceId, ZoneId},
};

/// The desired number of endpoints of one kind in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityOrder {
    /// Service that the endpoints offer.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether the order is for spot endpoints, which may be reclaimed at short notice.
    pub cheap: bool,
    /// Desired number of endpoints.
    pub count: u32,
}

/// The platform's calls for the duty holder. None is sent once its permission has run out.
pub trait DutyApi: Send + Sync {
    /// Reports, for each organisation, the number of requests that began in usage window `window`.
    fn report_usage<'a>(
        &'a self,
        permit: DutyPermit,
        window: u64,
        counts: &'a BTreeMap<OrgId, u64>,
    ) -> PlatformFuture<'a, ()>;

    /// Orders a number of endpoints. Status 409 means that no capacity is available at present.
    fn order_capacity<'a>(
        &'a self,
        permit: DutyPermit,
        order: &'a CapacityOrder,
    ) -> PlatformFuture<'a, ()>;

    /// Timeout of a call.
    fn call_limit(&self) -> Duration;
}
