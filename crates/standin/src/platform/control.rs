//! Commands that set the platform's lists and faults, and the record of the calls that it received.

use {
    compact_str::CompactString,
    ports::{Endpoint, Order, Stream, UsageReport, Vm},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    types::{EndpointId, ZoneId},
};

/// Faults of the platform. The default has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformFaults {
    /// Whether every call fails without effect.
    #[serde(default)]
    pub down: bool,
    /// Delay of every response, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Number of future appends, orders and reports that take effect but get no response.
    #[serde(default)]
    pub lose_answers: u32,
}

impl PlatformFaults {
    /// Delay of every response.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// A command to the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformCommand {
    /// Replaces the VM list.
    Vms(Vec<Vm>),
    /// Replaces the endpoints of an availability zone.
    Endpoints(ZoneId, Vec<Endpoint>),
    /// Marks endpoints as leaving.
    Leave(Vec<EndpointId>),
    /// Removes endpoints.
    Remove(Vec<EndpointId>),
    /// Adds addresses for the endpoints that orders start. They are used in this order.
    Stock(ZoneId, Vec<SocketAddr>),
    /// Sets whether cheap endpoints are available.
    Cheap(bool),
    /// Replaces the faults.
    Fault(PlatformFaults),
    /// Removes all but this number of the newest records of a stream.
    Retain(Stream, usize),
}

/// An order that the platform received.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The order.
    pub order: Order,
    /// Whether an earlier order with the same id was accepted.
    pub repeated: bool,
}

/// A usage report that the platform received.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReceivedReport {
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The report.
    pub report: UsageReport,
}

/// Calls that the platform has received.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReceivedCalls {
    /// Orders, first received first.
    pub orders: Vec<ReceivedOrder>,
    /// Usage reports, first received first.
    pub reports: Vec<ReceivedReport>,
    /// Number of records appended to each stream.
    pub appends: Vec<(CompactString, u64)>,
}
