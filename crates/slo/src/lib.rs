//! Service-level burn: whether answers meet the targets of their class, how fast error budgets are
//! used up, and what the endpoints cost beside it. No I/O; time is an argument.

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
