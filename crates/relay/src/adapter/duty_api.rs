//! Calls that one VM at a time may send.

use {
    ports::PlatformFuture,
    std::{collections::BTreeMap, time::Duration},
    types::{Epoch, OrgId, ServiceId, ZoneId},
};

/// Who sends a call, and the fencing number that orders holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceToken {
    /// Larger for each later holder.
    pub epoch: Epoch,
}

/// The number of endpoints wanted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityOrder {
    /// Service.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether the order is for endpoints that may be reclaimed at short notice.
    pub cheap: bool,
    /// Endpoints wanted of this kind.
    pub count: u32,
}

/// The platform's calls.
pub trait DutyApi: Send + Sync {
    /// Reports the requests of each organisation that began in window `window`.
    fn report_usage<'a>(
        &'a self,
        fence: FenceToken,
        window: u64,
        counts: &'a BTreeMap<OrgId, u64>,
    ) -> PlatformFuture<'a, ()>;

    /// Orders a number of endpoints. Status 409 means that none can be had at present.
    fn order_capacity<'a>(
        &'a self,
        fence: FenceToken,
        order: &'a CapacityOrder,
    ) -> PlatformFuture<'a, ()>;

    /// Longest time that a call takes before it counts as failed.
    fn call_limit(&self) -> Duration;
}
