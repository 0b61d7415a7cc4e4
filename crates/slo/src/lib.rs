//! Service-level burn: whether answers meet the targets of their class, how fast error budgets are
//! used up, and what the endpoints cost beside it. No I/O; time is an argument.

mod alert;
mod burn;
mod chart;
mod judge;
mod meter;
mod ring;
mod snapshot;
mod table;
mod tally;

pub use {
    alert::{Alert, Rule},
    burn::{BurnReport, BurnRow, Delivery, Prices, SpendingRow},
    chart::{ChartError, draw_chart},
    judge::{Timing, burns_budget, meets},
    meter::Meter,
    ring::Span,
    snapshot::{ClassTarget, OrgTally, Snapshot, Spending},
    tally::{Spans, Tally},
};
