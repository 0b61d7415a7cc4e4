//! The burn report: rows by class and by organisation, spending, and usage reports.

use {
    crate::{
        Alert, BurnWindow, OrgCounts, SloSnapshot, TargetCounts, WindowedCounts,
        alert::{alert, burn_rate, over},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    types::{ClassId, OrgId, Tokens, ZoneId},
};

const SECONDS_PER_HOUR: f64 = 3600.0;
const PER_TOKENS: f64 = 1000.0;

/// What an endpoint-hour costs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Prices {
    /// Of a cheap endpoint, as a share of a steady one's.
    pub cheap: f64,
}

/// Burn of a class, or of one organisation in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Class.
    pub class: ClassId,
    /// Organisation; all when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<OrgId>,
    /// Share of requests that must meet the targets.
    pub objective: f64,
    /// Requests over the long span.
    pub requests: u64,
    /// Share of requests that met the targets, over the long span.
    pub attainment: f64,
    /// Share of the long span's error budget that is left; negative when it is overspent.
    pub budget: f64,
    /// Burn rate over the short span.
    pub short: f64,
    /// Burn rate over the middle span.
    pub middle: f64,
    /// Burn rate over an hour.
    pub hour: f64,
    /// Burn rate over the long span.
    pub long: f64,
    /// The most urgent alert.
    pub alert: Alert,
    /// Tokens since the entries' start.
    pub tokens: Tokens,
}

/// Endpoint-hours of one availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneCost {
    /// Availability zone.
    pub zone: ZoneId,
    /// Hours that were looked at.
    pub hours: f64,
    /// Endpoint-hours of steady endpoints.
    pub steady: f64,
    /// Endpoint-hours of cheap endpoints.
    pub cheap: f64,
    /// Cost in steady endpoint-hours.
    pub cost: f64,
}

/// How usage reports went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDelivery {
    /// Reports that the platform took.
    pub taken: u64,
    /// Of these, taken late.
    pub late: u64,
    /// Sent again after a failure.
    pub retried: u64,
    /// Refused by the platform.
    pub wrong: u64,
    /// Requests counted in a later window than their own.
    pub moved: u64,
}

/// The burn report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Length of a unit of the spans, in seconds: 60 makes spans of 5 min, 30 min, 1 h and 6 h.
    pub unit: f64,
    /// By class.
    pub classes: Vec<BurnRow>,
    /// By class and organisation, fastest burn first.
    pub orgs: Vec<BurnRow>,
    /// By availability zone.
    pub spending: Vec<ZoneCost>,
    /// Cost in steady endpoint-hours for each 1000 tokens.
    pub cost: f64,
    /// Usage reports, where they were asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ReportDelivery>,
}

impl BurnReport {
    /// The report of merged counts.
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
            let (spans, tokens) = classes.entry(&row.class).or_default();
            spans.add(&row.spans);
            *tokens += row.tokens;
        }
        let class_rows = classes.into_iter().filter_map(|(class, (spans, tokens))| {
            let objective = objective(class)?;
            Some(burn_row(class, None, objective, &spans, tokens))
        });
        let org_row = |row: &OrgCounts| {
            let objective = objective(&row.class)?;
            let org = Some(row.org.clone());
            Some(burn_row(&row.class, org, objective, &row.spans, row.tokens))
        };
        let mut orgs: Vec<BurnRow> = snapshot.orgs.iter().filter_map(org_row).collect();
        orgs.sort_by(|a, b| {
            let urgency = b.alert.cmp(&a.alert);
            urgency.then(b.hour.total_cmp(&a.hour))
        });
        let spending = spending_rows(snapshot, prices);
        Self {
            unit: snapshot.unit,
            classes: class_rows.collect(),
            cost: cost_per_tokens(&spending, snapshot),
            orgs,
            spending,
            usage,
        }
    }

    /// The most urgent alert of any row.
    pub fn worst_alert(&self) -> Alert {
        let rows = self.classes.iter().chain(&self.orgs);
        rows.map(|r| r.alert).max().unwrap_or_default()
    }
}

fn burn_row(
    class: &ClassId,
    org: Option<OrgId>,
    objective: f64,
    spans: &WindowedCounts,
    tokens: Tokens,
) -> BurnRow {
    let rate = |span| burn_rate(over(spans, span), objective);
    let long: TargetCounts = spans.long;
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
        alert: alert(spans, objective),
        tokens,
    }
}

fn spending_rows(snapshot: &SloSnapshot, prices: Prices) -> Vec<ZoneCost> {
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
        tokens => cost * PER_TOKENS / tokens as f64,
    }
}
