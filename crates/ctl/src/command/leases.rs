//! `celeryctl show leases`: holders of leases, and orders without a result.

use {
    super::{ExitReason, session::Session},
    coord::{LeaseId, LeaseState, LeaseTable},
    eyre::Result,
    fleet::{OpenOrder, OrderLedger},
    ports::{Order, Stream},
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
    types::{Epoch, Incarnation, VmId},
};

/// Status of a lease according to the log.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum LeaseStatus {
    /// Claimed and not released. The age of the last renewal shows whether it has expired.
    Held,
    /// Released.
    Released,
    /// Older records are no longer kept; this is the latest claim that may be valid.
    Uncertain,
}

impl fmt::Display for LeaseStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Held => "held",
            Self::Released => "released",
            Self::Uncertain => "uncertain",
        })
    }
}

#[derive(Debug, Serialize)]
struct LeaseRow {
    lease: LeaseId,
    status: LeaseStatus,
    vm: VmId,
    incarnation: Incarnation,
    epoch: Epoch,
    /// Time of the claim, in milliseconds since the Unix epoch; missing if its record is no longer
    /// kept.
    since_ms: Option<u64>,
    /// Time of the last renewal, in milliseconds since the Unix epoch.
    renewed_ms: Option<u64>,
}

#[derive(Debug, Serialize)]
struct OrderRow {
    order: Order,
    since_ms: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    now_ms: u64,
    leases: Vec<LeaseRow>,
    orders: Vec<OrderRow>,
}

pub(super) async fn run(session: &Session) -> Result<ExitReason> {
    let report = Report {
        now_ms: session.unix_ms(),
        leases: leases(session).await?,
        orders: orders(session).await?,
    };
    if session.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print_table(&report);
    }
    Ok(ExitReason::Done)
}

async fn leases(session: &Session) -> Result<Vec<LeaseRow>> {
    let (first, records) = session.records(Stream::Leases).await?;
    let mut table = LeaseTable::default();
    if first > 0 {
        table.mark_lost(first);
    }
    for record in &records {
        table.fold(record.offset, &record.data);
    }
    let times: BTreeMap<u64, u64> = records.iter().map(|r| (r.offset, r.at_ms)).collect();
    let rows = table.leases().filter_map(|(id, s)| row(id, s, &times));
    Ok(rows.collect())
}

fn row(id: &LeaseId, state: &LeaseState, times: &BTreeMap<u64, u64>) -> Option<LeaseRow> {
    let (offset, mark) = state.latest_possible()?;
    let status = match state.confirmed() {
        None => LeaseStatus::Uncertain,
        Some((_, mark)) if mark.released => LeaseStatus::Released,
        Some(_) => LeaseStatus::Held,
    };
    Some(LeaseRow {
        lease: id.clone(),
        status,
        vm: mark.holder.vm.clone(),
        incarnation: mark.holder.incarnation,
        epoch: mark.epoch,
        since_ms: times.get(&mark.epoch.0).copied(),
        renewed_ms: times.get(&offset).copied(),
    })
}

async fn orders(session: &Session) -> Result<Vec<OrderRow>> {
    let (_, records) = session.records(Stream::Orders).await?;
    let mut ledger = OrderLedger::default();
    for record in &records {
        ledger.fold(record.at_ms, &record.data);
    }
    let row = |o: &OpenOrder| OrderRow {
        order: o.order.clone(),
        since_ms: o.since,
    };
    Ok(ledger.open().map(row).collect())
}

fn print_table(report: &Report) {
    let age = |at: Option<u64>| match at {
        Some(at) => format!("{:.1} s", report.now_ms.saturating_sub(at) as f64 / 1000.0),
        None => "-".into(),
    };
    println!(
        "{:<24} {:<9} {:<20} {:>8} {:>10} {:>10}",
        "lease", "status", "vm", "epoch", "held for", "renewed"
    );
    for row in &report.leases {
        println!(
            "{:<24} {:<9} {:<20} {:>8} {:>10} {:>10}",
            row.lease.to_string(),
            row.status,
            row.vm.to_string(),
            row.epoch.to_string(),
            age(row.since_ms),
            age(row.renewed_ms),
        );
    }
    println!("orders in flight: {}", report.orders.len());
    for row in &report.orders {
        let order = &row.order;
        println!(
            "{} {} {:?} by {} epoch {} for {}",
            order.id,
            order.zone,
            order.action,
            order.sender,
            order.epoch,
            age(Some(row.since_ms))
        );
    }
}
