//! `celeryctl burn`.

use {
    super::{ExitReason, cli::expect_no_more_args},
    clock::SystemClock,
    eyre::{Result, WrapErr, bail, ensure},
    http_types::Method,
    pico_args::Arguments,
    slo::{Alert, BurnReport, Prices, ReportDelivery, SloSnapshot, draw_chart},
    std::{fs, net::SocketAddr, path::PathBuf},
    types::Bytes,
    wire::{Call, Client},
};

const MAX_PAGE_SIZE: Bytes = Bytes(64 * 1024 * 1024);
/// Default price of a cheap endpoint, as a share of a steady one's.
const DEFAULT_CHEAP_PRICE: f64 = 0.35;

struct Options {
    entries: Vec<SocketAddr>,
    stewards: Vec<SocketAddr>,
    prices: Prices,
    svg: Option<PathBuf>,
    json: bool,
}

impl Options {
    fn from_args(mut args: Arguments) -> Result<Self> {
        let entries: Vec<SocketAddr> = args.values_from_str("--entry")?;
        let stewards = args.values_from_str("--steward")?;
        let cheap: Option<f64> = args.opt_value_from_str("--cheap-price")?;
        let svg = args.opt_value_from_str("--svg")?;
        let json = args.contains("--json");
        expect_no_more_args(args)?;
        ensure!(!entries.is_empty(), "--entry ADDR is missing; see --help");
        let cheap = cheap.unwrap_or(DEFAULT_CHEAP_PRICE);
        ensure!(
            (0.0..=1.0).contains(&cheap),
            "--cheap-price: accepted is 0 to 1"
        );
        Ok(Self {
            entries,
            stewards,
            prices: Prices { cheap },
            svg,
            json,
        })
    }
}

pub(super) async fn run(args: Arguments) -> Result<ExitReason> {
    let options = Options::from_args(args)?;
    let client = Client::new(SystemClock::shared());
    match fetch_report(&client, &options).await {
        Ok(report) => print_report(&report, &options),
        Err(e) => {
            eprintln!("celeryctl: {e:#}");
            Ok(ExitReason::Failed)
        }
    }
}

/// Creates the report from the pages of all entries. A report without one of them would be wrong,
/// so a single failure is an error.
async fn fetch_report(client: &Client, options: &Options) -> Result<BurnReport> {
    let mut parts: Vec<SloSnapshot> = Vec::new();
    for entry in &options.entries {
        let page = fetch_page(client, *entry, "/slo").await?;
        let part = serde_json::from_slice(&page);
        parts.push(part.wrap_err_with(|| format!("{entry}: cannot decode /slo"))?);
    }
    let mut delivery = None;
    for steward in &options.stewards {
        let text = String::from_utf8(fetch_page(client, *steward, "/metrics").await?)?;
        add_delivery(delivery.get_or_insert_default(), &text);
    }
    let merged = SloSnapshot::merge(parts);
    Ok(BurnReport::from_snapshot(&merged, options.prices, delivery))
}

async fn fetch_page(client: &Client, addr: SocketAddr, path: &str) -> Result<Vec<u8>> {
    let context = || format!("{addr}: cannot read {path}");
    let sent = client.send(Call::new(addr, Method::Get, path)).await;
    let mut reply = sent.wrap_err_with(context)?;
    if reply.status() != 200 {
        bail!("{addr}: {path}: status {}", reply.status());
    }
    reply.bytes(MAX_PAGE_SIZE).await.wrap_err_with(context)
}

/// Adds the usage report counters in the metrics of one steward.
fn add_delivery(sum: &mut ReportDelivery, metrics: &str) {
    let value = |name: &str| {
        let lines = metrics.lines().filter_map(|l| l.rsplit_once(' '));
        let found = lines.filter(|(key, _)| *key == name);
        found
            .filter_map(|(_, v)| v.parse::<u64>().ok())
            .sum::<u64>()
    };
    sum.taken += value("celerystage_usage_reports_total");
    sum.late += value("celerystage_usage_reports_late_total");
    sum.retried += value("celerystage_usage_reports_retried_total");
    sum.wrong += value("celerystage_usage_reports_wrong_total");
    sum.moved += value("celerystage_usage_counts_late_total");
}

fn print_report(report: &BurnReport, options: &Options) -> Result<ExitReason> {
    if let Some(path) = &options.svg {
        let text = draw_chart(report)?;
        fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        println!("{report}");
    }
    Ok(match report.worst_alert() {
        Alert::None => ExitReason::Done,
        Alert::Ticket | Alert::Page => ExitReason::BudgetAlert,
    })
}
