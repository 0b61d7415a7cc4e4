//! The burn report: burn rates by class and by organisation, endpoint costs, and the delivery of
//! usage reports.

use {
    crate::{
        Alert, BurnWindow, OrgCounts, SloSnapshot, TargetCounts, WindowedCounts,
        alert::{burn_rate, counts_in, most_urgent_alert},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{ClassId, OrgId, Tokens, ZoneId},
};

const SECONDS_PER_HOUR: f64 = 3600.0;
/// Tokens that [`BurnReport::cost`] refers to.
const COST_TOKENS: f64 = 1000.0;

/// Prices of an endpoint-hour.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Prices {
    /// Price of a cheap endpoint; a steady one costs 1.
    pub cheap: f64,
}

/// Burn rates of a class, or of one organisation in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Class.
    pub class: ClassId,
    /// Organisation; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<OrgId>,
    /// Fraction of requests that must meet the targets.
    pub objective: f64,
    /// Requests in the long window.
    pub requests: u64,
    /// Fraction of requests in the long window that met the targets.
    pub attainment: f64,
    /// Fraction of the long window's error budget that is left; negative when it is exceeded.
    pub budget: f64,
    /// Burn rate over the short window.
    pub short: f64,
    /// Burn rate over the middle window.
    pub middle: f64,
    /// Burn rate over the window of 60 units.
    pub hour: f64,
    /// Burn rate over the long window.
    pub long: f64,
    /// Most urgent alert that is raised.
    pub alert: Alert,
    /// Tokens since the entries started.
    pub tokens: Tokens,
}

/// Endpoint-hours and their cost in one availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneCost {
    /// Availability zone.
    pub zone: ZoneId,
    /// Observed time, in hours.
    pub hours: f64,
    /// Endpoint-hours of steady endpoints.
    pub steady: f64,
    /// Endpoint-hours of cheap endpoints.
    pub cheap: f64,
    /// Cost in steady endpoint-hours.
    pub cost: f64,
}

/// Delivery of usage reports to the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDelivery {
    /// Reports that the platform acknowledged.
    pub taken: u64,
    /// Acknowledged reports that were late.
    pub late: u64,
    /// Reports that were sent again after a failure.
    pub retried: u64,
    /// Reports that the platform refused.
    pub wrong: u64,
    /// Requests that were reported with a later window than their own.
    pub moved: u64,
}

/// The burn report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Length of a unit of the windows, in seconds; 60 gives windows of 5 min, 30 min, 1 h and 6 h.
    pub unit: f64,
    /// Burn rates by class.
    pub classes: Vec<BurnRow>,
    /// Burn rates by class and organisation, most urgent alert and then fastest burn over an hour
    /// first.
    pub orgs: Vec<BurnRow>,
    /// Endpoint costs by availability zone.
    pub spending: Vec<ZoneCost>,
    /// Cost of 1000 tokens, in steady endpoint-hours.
    pub cost: f64,
    /// Delivery of usage reports, if it was requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ReportDelivery>,
}

impl BurnReport {
    /// Builds the report from the merged counts of all entries.
    pub fn from_snapshot(
        snapshot: &SloSnapshot,
        prices: Prices,
        usage: Option<ReportDelivery>,
    ) -> Self {
        let objectives: BTreeMap<_, _> = snapshot
            .classes
            .iter()
            .map(|c| (&c.class, c.objective))
            .collect();
        let objective = |class: &ClassId| objectives.get(class).copied();
        let mut classes: BTreeMap<&ClassId, (WindowedCounts, Tokens)> = BTreeMap::new();
        for row in &snapshot.orgs {
            let (windows, tokens) = classes.entry(&row.class).or_default();
            windows.add(&row.spans);
            *tokens += row.tokens;
        }
        let class_rows = classes
            .into_iter()
            .filter_map(|(class, (windows, tokens))| {
                let objective = objective(class)?;
                Some(build_row(class, None, objective, &windows, tokens))
            });
        let org_row = |row: &OrgCounts| {
            let objective = objective(&row.class)?;
            let org = Some(row.org.clone());
            Some(build_row(
                &row.class, org, objective, &row.spans, row.tokens,
            ))
        };
        let mut orgs: Vec<BurnRow> = snapshot.orgs.iter().filter_map(org_row).collect();
        orgs.sort_by(|a, b| {
            let urgency = b.alert.cmp(&a.alert);
            urgency.then(b.hour.total_cmp(&a.hour))
        });
        let spending = zone_costs(snapshot, prices);
        Self {
            unit: snapshot.unit,
            classes: class_rows.collect(),
            cost: cost_per_tokens(&spending, snapshot),
            orgs,
            spending,
            usage,
        }
    }

    /// Returns the most urgent alert of all rows.
    pub fn worst_alert(&self) -> Alert {
        let rows = self.classes.iter().chain(&self.orgs);
        rows.map(|r| r.alert).max().unwrap_or_default()
    }
}

fn build_row(
    class: &ClassId,
    org: Option<OrgId>,
    objective: f64,
    windows: &WindowedCounts,
    tokens: Tokens,
) -> BurnRow {
    let rate = |window| burn_rate(counts_in(windows, window), objective);
    let long: TargetCounts = windows.long;
    BurnRow {
        class: class.clone(),
        org,
        objective,
        requests: long.total(),
        attainment: long.attainment(),
        budget: 1.0 - rate(BurnWindow::Long),
        short: rate(BurnWindow::Short),
        middle: rate(BurnWindow::Middle),
        hour: rate(BurnWindow::Hour),
        long: rate(BurnWindow::Long),
        alert: most_urgent_alert(windows, objective),
        tokens,
    }
}

fn zone_costs(snapshot: &SloSnapshot, prices: Prices) -> Vec<ZoneCost> {
    let rows = snapshot.zones.iter().map(|(zone, s)| {
        let (steady, cheap) = (s.steady / SECONDS_PER_HOUR, s.cheap / SECONDS_PER_HOUR);
        ZoneCost {
            zone: zone.clone(),
            hours: s.seconds / SECONDS_PER_HOUR,
            steady,
            cheap,
            cost: steady + cheap * prices.cheap,
        }
    });
    rows.collect()
}

fn cost_per_tokens(spending: &[ZoneCost], snapshot: &SloSnapshot) -> f64 {
    let cost: f64 = spending.iter().map(|s| s.cost).sum();
    let tokens: u64 = snapshot.orgs.iter().map(|o| o.tokens.0).sum();
    match tokens {
        0 => 0.0,
        tokens => cost * COST_TOKENS / tokens as f64,
    }
}
