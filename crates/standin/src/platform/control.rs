//! Faults and lists that a test sets, and the record that it reads.

use {
    compact_str::CompactString,
    ports::{Endpoint, Order, Stream, UsageReport, Vm},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    types::{EndpointId, ZoneId},
};

/// A fault of the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformFaults {
    /// Every call fails without effect.
    #[serde(default)]
    pub down: bool,
    /// Delay of every answer, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Number of coming appends, orders and reports that take effect but are never answered.
    #[serde(default)]
    pub lose_answers: u32,
}

impl PlatformFaults {
    /// Delay of every answer.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// A control call.
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
    /// Adds addresses that started endpoints get, in the order of orders.
    Stock(ZoneId, Vec<SocketAddr>),
    /// Whether cheap endpoints can be had.
    Cheap(bool),
    /// Replaces the faults.
    Fault(PlatformFaults),
    /// Keeps only this many newest records of a stream.
    Retain(Stream, usize),
}

/// An order as it arrived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The order.
    pub order: Order,
    /// Whether it repeated an earlier order's id.
    pub repeated: bool,
}

/// A usage report as it arrived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReceivedReport {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The report.
    pub report: UsageReport,
}

/// What the platform has seen.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReceivedCalls {
    /// Orders in order of arrival.
    pub orders: Vec<ReceivedOrder>,
    /// Usage reports in order of arrival.
    pub reports: Vec<ReceivedReport>,
    /// Appends by stream.
    pub appends: Vec<(CompactString, u64)>,
}
