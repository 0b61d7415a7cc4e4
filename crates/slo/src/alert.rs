//! Alerts over two spans each: the long one shows that it matters, the short one that it goes on.

use {
    crate::{BurnWindow, TargetCounts, WindowedCounts},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Smallest error budget, so that every objective has a burn rate.
const MIN_BUDGET: f64 = 0.0001;
/// Requests in the long span below which no alert is raised.
const MIN_REQUESTS: u64 = 10;
/// Burn rate that uses 2 % of a 30-day budget in an hour.
const FAST_RATE: f64 = 14.4;
/// Burn rate that uses 5 % of a 30-day budget in six hours.
const SLOW_RATE: f64 = 6.0;
/// Share of the highest possible burn rate at which an alert is raised at the latest; matters for
/// objectives that allow many misses.
const MAX_SHARE: f64 = 0.5;

/// How urgent a burning error budget is.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Nothing to do.
    #[default]
    None,
    /// Look at it within the day.
    Ticket,
    /// Look at it now.
    Page,
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::None => "-",
            Self::Ticket => "ticket",
            Self::Page => "PAGE",
        };
        f.pad(text)
    }
}

/// One alert rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AlertRule {
    /// What is raised.
    pub alert: Alert,
    /// Burn rate above which it is raised.
    pub rate: f64,
    /// Span that shows that it goes on.
    pub short: BurnWindow,
    /// Span that shows that it matters.
    pub long: BurnWindow,
}

impl AlertRule {
    /// All rules, most urgent first.
    pub const ALL: [Self; 2] = [
        Self {
            alert: Alert::Page,
            rate: FAST_RATE,
            short: BurnWindow::Short,
            long: BurnWindow::Hour,
        },
        Self {
            alert: Alert::Ticket,
            rate: SLOW_RATE,
            short: BurnWindow::Middle,
            long: BurnWindow::Long,
        },
    ];

    fn holds(&self, spans: &WindowedCounts, objective: f64) -> bool {
        let (short, long) = (over(spans, self.short), over(spans, self.long));
        let highest = (MAX_SHARE / budget(objective)).max(1.0);
        let rate = self.rate.min(highest);
        long.total() >= MIN_REQUESTS
            && burn_rate(short, objective) > rate
            && burn_rate(long, objective) > rate
    }
}

/// Counts over one span.
pub(crate) fn over(spans: &WindowedCounts, span: BurnWindow) -> TargetCounts {
    match span {
        BurnWindow::Short => spans.short,
        BurnWindow::Middle => spans.middle,
        BurnWindow::Hour => spans.hour,
        BurnWindow::Long => spans.long,
    }
}

/// Share of requests that may miss their targets.
fn budget(objective: f64) -> f64 {
    (1.0 - objective).max(MIN_BUDGET)
}

/// How many times faster than allowed the error budget is used up.
pub(crate) fn burn_rate(tally: TargetCounts, objective: f64) -> f64 {
    (1.0 - tally.attainment()) / budget(objective)
}

/// The most urgent alert that the counts raise.
pub(crate) fn alert(spans: &WindowedCounts, objective: f64) -> Alert {
    let raised = AlertRule::ALL.iter().find(|r| r.holds(spans, objective));
    raised.map_or(Alert::None, |r| r.alert)
}
