//! Burn-rate alerts. Each rule looks at two windows: the long one shows that the burn is
//! significant, the short one that it is still going on.

use {
    crate::{BurnWindow, TargetCounts, WindowedCounts},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Smallest error budget, so that burn rates stay finite for objectives near 1.
const MIN_ERROR_BUDGET: f64 = 0.0001;
/// Requests in the long window below which no alert is raised.
const MIN_REQUESTS: u64 = 10;
/// Burn rate that uses 2 % of a 30-day budget in an hour.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate that uses 5 % of a 30-day budget in six hours.
const SLOW_BURN_RATE: f64 = 6.0;
/// Upper bound of every rule's rate, as a fraction of the highest possible burn rate. Without it,
/// objectives that allow many misses could never reach the rates above.
const MAX_RATE_FRACTION: f64 = 0.5;

/// How urgent a burn of the error budget is.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No action needed.
    #[default]
    None,
    /// Needs action within the day.
    Ticket,
    /// Needs action at once.
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
    /// Alert that is raised.
    pub alert: Alert,
    /// Burn rate that both windows must exceed.
    pub rate: f64,
    /// Window that shows that the burn is still going on.
    pub short: BurnWindow,
    /// Window that shows that the burn is significant.
    pub long: BurnWindow,
}

impl AlertRule {
    /// All rules, most urgent first.
    pub const ALL: [Self; 2] = [
        Self {
            alert: Alert::Page,
            rate: FAST_BURN_RATE,
            short: BurnWindow::Short,
            long: BurnWindow::Hour,
        },
        Self {
            alert: Alert::Ticket,
            rate: SLOW_BURN_RATE,
            short: BurnWindow::Middle,
            long: BurnWindow::Long,
        },
    ];

    fn is_raised(&self, windows: &WindowedCounts, objective: f64) -> bool {
        let (short, long) = (
            counts_in(windows, self.short),
            counts_in(windows, self.long),
        );
        let max_rate = (MAX_RATE_FRACTION / error_budget(objective)).max(1.0);
        let rate = self.rate.min(max_rate);
        long.total() >= MIN_REQUESTS
            && burn_rate(short, objective) > rate
            && burn_rate(long, objective) > rate
    }
}

/// Returns the counts over one window.
pub(crate) fn counts_in(windows: &WindowedCounts, window: BurnWindow) -> TargetCounts {
    match window {
        BurnWindow::Short => windows.short,
        BurnWindow::Middle => windows.middle,
        BurnWindow::Hour => windows.hour,
        BurnWindow::Long => windows.long,
    }
}

/// Returns the fraction of requests that may miss their targets.
fn error_budget(objective: f64) -> f64 {
    (1.0 - objective).max(MIN_ERROR_BUDGET)
}

/// Returns how many times faster than allowed the error budget is used up.
pub(crate) fn burn_rate(counts: TargetCounts, objective: f64) -> f64 {
    (1.0 - counts.attainment()) / error_budget(objective)
}

/// Returns the most urgent alert that the counts raise.
pub(crate) fn most_urgent_alert(windows: &WindowedCounts, objective: f64) -> Alert {
    let raised = AlertRule::ALL
        .iter()
        .find(|r| r.is_raised(windows, objective));
    raised.map_or(Alert::None, |r| r.alert)
}
