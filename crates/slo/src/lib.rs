//! Service-level objectives: whether answers meet the targets of their class, how fast the error
//! budgets burn, and what the endpoints cost meanwhile. No I/O; the caller passes the time.

mod alert;
mod burn_report;
mod chart;
mod counts;
mod meter;
mod rolling;
mod snapshot;
mod table;
mod targets;

pub use {
    alert::{Alert, AlertRule},
    burn_report::{BurnReport, BurnRow, Prices, ReportDelivery, ZoneCost},
    chart::{ChartError, draw_chart},
    counts::{TargetCounts, WindowedCounts},
    meter::SloMeter,
    rolling::BurnWindow,
    snapshot::{ClassObjective, EndpointTime, OrgCounts, SloSnapshot},
    targets::{ResponseTiming, burns_budget, meets_targets},
};
